#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "coltsfootlock/state/packet.h"
#include "name_registry.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace coltsfootlock {

/// Counts the open flows on this daemon's share per target, and chooses targets for new flows within the share.
class connection_shares
{
public:
  /// Reads the targets of the own domain and the sets that divide their limits from the view.
  void set_view(const routing_view& view, name_registry& names);

  /// Returns the target of the group with the fewest open flows relative to the share, or `none` if no share is left.
  /// `spread` selects between equal targets.
  std::uint32_t choose(std::uint32_t group, std::uint64_t spread, instant now) const;

  void add(std::uint32_t target);
  void remove(std::uint32_t target);

  std::uint32_t open(std::uint32_t target) const;
  std::uint32_t share(std::uint32_t target, instant now) const;

  /// Applies a report of a target at once, before the control thread publishes it. Returns true on a change.
  bool on_report(std::uint32_t target, const target_report& report, instant now);

private:
  struct set_position
  {
    std::size_t members = 0;
    std::size_t rank = 0;
  };
  struct candidate
  {
    std::uint32_t id = 0;
    target_limits limits;
    instant cold_since{};
    bool leaving = false;
    std::vector<set_position> positions; ///< One per set; empty if this daemon has no share.
  };
  struct reported
  {
    target_report report;
    instant cold_since{};
  };

  std::uint32_t share_of_candidate(const candidate& value, instant now) const;
  bool reported_leaving(std::uint32_t target) const;

  std::unordered_map<std::uint32_t, std::vector<candidate>> groups_;
  std::vector<std::uint32_t> open_; ///< Open flows by target.
  std::unordered_map<std::uint32_t, reported> reports_;
};

}
