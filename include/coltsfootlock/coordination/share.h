#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "coltsfootlock/state/service.h"
#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// A part of a target's limits.
struct target_share
{
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;

  auto operator<=>(const target_share&) const = default;
};

/// The limits of a target at `now`: the cold limits at cold_since, growing linearly to the full limits.
target_share
allowance_at(const target_limits& limits, instant cold_since, instant now);

/// The part of `allowance` that `self` may use at the target. Each set divides the total equally among its members and
/// assigns the remainder by rendezvous rank; the result is the minimum over all sets. Zero without sets, or if `self`
/// is missing from a set.
target_share
share_of(const target_share& allowance, const std::vector<entry_set>& sets, const vm_id& self, const vm_id& target);

/// The part of `total` for the member with this rendezvous rank: total / members, plus one for the first ranks until
/// the remainder is used up.
std::uint32_t
part_of(std::uint32_t total, std::size_t members, std::size_t rank);

/// True while this daemon may use its shares: its sets are settled, the start-up hold-off is over, and its spending
/// authority is valid.
bool
may_spend(const routing_view& view, instant now);

/// True while idempotency keys may be accepted.
bool
may_accept_keys(const routing_view& view, instant now);

}
