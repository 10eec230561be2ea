#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "name_registry.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace coltsfootlock {

/// Looks up the services, targets and daemons of the current view by number. Names of earlier views are kept: an
/// unknown name may be newer than this daemon's list, while a name that is no longer listed was removed.
class routing_index
{
public:
  struct target
  {
    endpoint address;
    std::uint32_t group = 0;
    std::uint32_t domain = 0;
    bool listed = false;
    bool ever_listed = false;
  };
  struct daemon
  {
    endpoint address;
    std::uint32_t domain = 0;
    bool listed = false;
    bool ever_listed = false;
  };

  void set_view(const routing_view& view, name_registry& names);

  /// Returns the target group of the service at the address, or `none` if there is no service.
  std::uint32_t group_of(const endpoint& service) const;

  /// True if an earlier view had a service at the address and the current one has none.
  bool had_service(const endpoint& service) const;

  const target& target_of(std::uint32_t id) const;
  const daemon& daemon_of(std::uint32_t id) const;

private:
  static std::uint64_t key_of(const endpoint& address)
  {
    return (static_cast<std::uint64_t>(address.address) << 16U) | address.port;
  }

  std::unordered_map<std::uint64_t, std::uint32_t> groups_; ///< `none` for services only in earlier views.
  std::vector<target> targets_;
  std::vector<daemon> daemons_;
};

}
