#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "coltsfootlock/coordination/traffic_action.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace coltsfootlock {

/// Last check before a packet is sent to a target: the target must belong to the group of the service that the packet
/// is addressed to, and its failure domain must be in service.
class service_guard
{
public:
  void set_view(const routing_view& view);

  /// True if the packet may be sent; false is reported as an invariant failure.
  bool allows(const send_to_target& action) const;

private:
  struct target_entry
  {
    std::uint32_t group = 0;
    bool in_service = false;
  };

  static std::uint64_t key_of(const endpoint& value);

  std::unordered_map<std::string, std::uint32_t> groups_;
  std::unordered_map<std::uint64_t, std::uint32_t> group_of_service_;
  std::unordered_map<std::uint64_t, target_entry> targets_;
};

}
