#include "coltsfootlock/coordination/share.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <limits>

namespace coltsfootlock {

namespace {

std::uint32_t
interpolate(std::uint32_t cold, std::uint32_t full, double progress)
{
  if (cold >= full) {
    return full;
  }
  return cold + static_cast<std::uint32_t>(static_cast<double>(full - cold) * progress);
}

}

std::uint32_t
part_of(std::uint32_t total, std::size_t members, std::size_t rank)
{
  const auto count = static_cast<std::uint32_t>(members);
  return total / count + (rank < total % count ? 1 : 0);
}

target_share
allowance_at(const target_limits& limits, instant cold_since, instant now)
{
  const duration warm_up = seconds(limits.warm_up_seconds);
  double progress = 1.0;
  if (now < cold_since + warm_up) {
    const auto elapsed = std::chrono::duration<double>(std::max(now - cold_since, duration::zero()));
    progress = elapsed / std::chrono::duration<double>(warm_up);
  }
  return { interpolate(limits.cold_slots, limits.slots, progress),
           interpolate(limits.cold_connections, limits.connections, progress) };
}

target_share
share_of(const target_share& allowance, const std::vector<entry_set>& sets, const vm_id& self, const vm_id& target)
{
  if (sets.empty()) {
    return {};
  }
  target_share share{ std::numeric_limits<std::uint32_t>::max(), std::numeric_limits<std::uint32_t>::max() };
  for (const entry_set& set : sets) {
    const std::size_t rank = rendezvous_rank(hash_text(target), set.members, self);
    if (rank == set.members.size()) {
      return {};
    }
    share.slots = std::min(share.slots, part_of(allowance.slots, set.members.size(), rank));
    share.connections = std::min(share.connections, part_of(allowance.connections, set.members.size(), rank));
  }
  return share;
}

bool
may_spend(const routing_view& view, instant now)
{
  return !view.spending_sets.empty() && now >= view.spend_from && now < view.spend_authority_until;
}

bool
may_accept_keys(const routing_view& view, instant now)
{
  return may_spend(view, now) && now < view.key_authority_until;
}

}
