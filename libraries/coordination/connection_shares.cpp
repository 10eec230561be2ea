#include "connection_shares.h"

#include "coltsfootlock/coordination/invariant.h"
#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/coordination/share.h"

#include <algorithm>
#include <limits>

namespace coltsfootlock {

void
connection_shares::set_view(const routing_view& view, name_registry& names)
{
  groups_.clear();
  std::unordered_map<std::string, target_limits> limits;
  for (const service& entry : view.services->services) {
    limits.emplace(entry.target_group, entry.limits);
  }
  for (const auto& [id, target] : view.targets) {
    const auto found = limits.find(target.vm.target_group);
    if (target.vm.domain != view.domain || found == limits.end()) {
      continue;
    }
    candidate added{ names.intern(id), found->second, target.cold_since, target.leaving || target.vm.leaving, {} };
    const std::uint64_t hash = hash_text(id);
    for (const entry_set& set : view.spending_sets) {
      const std::size_t rank = rendezvous_rank(hash, set.members, view.self);
      if (rank == set.members.size()) {
        added.positions.clear();
        break;
      }
      added.positions.push_back({ set.members.size(), rank });
    }
    groups_[names.intern(target.vm.target_group)].push_back(std::move(added));
  }
}

std::uint32_t
connection_shares::share_of_candidate(const candidate& value, instant now) const
{
  if (value.positions.empty()) {
    return 0;
  }
  const auto report = reports_.find(value.id);
  const instant cold_since =
    report == reports_.end() ? value.cold_since : std::max(value.cold_since, report->second.cold_since);
  const std::uint32_t allowance = allowance_at(value.limits, cold_since, now).connections;
  std::uint32_t share = std::numeric_limits<std::uint32_t>::max();
  for (const set_position& entry : value.positions) {
    share = std::min(share, part_of(allowance, entry.members, entry.rank));
  }
  return share;
}

bool
connection_shares::reported_leaving(std::uint32_t target) const
{
  const auto found = reports_.find(target);
  return found != reports_.end() && found->second.report.condition == target_condition::leaving;
}

std::uint32_t
connection_shares::choose(std::uint32_t group, std::uint64_t spread, instant now) const
{
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return name_registry::none;
  }
  const std::vector<candidate>& candidates = found->second;
  std::uint32_t best = name_registry::none;
  std::uint64_t best_open = 0;
  std::uint64_t best_share = 1;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const candidate& value = candidates[(index + spread) % candidates.size()];
    const std::uint64_t share = share_of_candidate(value, now);
    const std::uint64_t used = open(value.id);
    if (value.leaving || used >= share || reported_leaving(value.id)) {
      continue;
    }
    if (best == name_registry::none || used * best_share < best_open * share) {
      best = value.id;
      best_open = used;
      best_share = share;
    }
  }
  return best;
}

void
connection_shares::add(std::uint32_t target)
{
  if (open_.size() <= target) {
    open_.resize(target + 1, 0);
  }
  ++open_[target];
}

void
connection_shares::remove(std::uint32_t target)
{
  if (check_invariant(open(target) > 0, "flow-count", "released a flow that was not counted")) {
    --open_[target];
  }
}

std::uint32_t
connection_shares::open(std::uint32_t target) const
{
  return target < open_.size() ? open_[target] : 0;
}

std::uint32_t
connection_shares::share(std::uint32_t target, instant now) const
{
  for (const auto& [group, candidates] : groups_) {
    for (const candidate& value : candidates) {
      if (value.id == target) {
        return share_of_candidate(value, now);
      }
    }
  }
  return 0;
}

bool
connection_shares::on_report(std::uint32_t target, const target_report& report, instant now)
{
  if (report.incarnation == 0) {
    return false;
  }
  const auto [found, added] = reports_.try_emplace(target, reported{ report, instant{} });
  if (added) {
    found->second.cold_since = report.condition == target_condition::cold ? now : instant{};
    return true;
  }
  if (found->second.report == report) {
    return false;
  }
  // Incarnation numbers do not show which of two incarnations is newer, so a late packet of an older incarnation counts
  // as a cold start as well.
  const bool restarted = found->second.report.incarnation != report.incarnation;
  if (restarted || report.condition == target_condition::cold) {
    found->second.cold_since = now;
  }
  found->second.report = report;
  return true;
}

}
