#include "coltsfootlock/coordination/steering/flow_placement.h"

#include <algorithm>
#include <tuple>

namespace coltsfootlock {

namespace {

/// Targets of the own domain may hold this many times an even share of the flows before new flows go to other domains.
constexpr double max_share_factor = 2;

/// Minimum limit of flows for each target of the own domain.
constexpr double min_flows = 4;

/// Flows per target of this daemon's domain if that domain held all of the daemon's flows and all domains had the same
/// number of targets.
double
even_share(const std::vector<placement_candidate>& candidates)
{
  double flows = 0;
  std::vector<std::size_t> domains;
  for (const placement_candidate& candidate : candidates) {
    flows += candidate.open_flows;
    if (std::find(domains.begin(), domains.end(), candidate.domain) == domains.end()) {
      domains.push_back(candidate.domain);
    }
  }
  return flows * static_cast<double>(domains.size()) / static_cast<double>(candidates.size());
}

bool
is_better(const placement_candidate& left, const placement_candidate& right)
{
  if (left.condition != right.condition) {
    return left.condition < right.condition;
  }
  if (left.answer_overdue != right.answer_overdue) {
    return right.answer_overdue;
  }
  if (left.own_domain != right.own_domain) {
    return left.own_domain;
  }
  // Compares open_flows / slots without division.
  const auto left_load = static_cast<std::uint64_t>(left.open_flows) * std::max(right.slots, 1U);
  const auto right_load = static_cast<std::uint64_t>(right.open_flows) * std::max(left.slots, 1U);
  return std::tie(left_load, left.preference) < std::tie(right_load, right.preference);
}

}

std::optional<std::size_t>
place_flow(std::vector<placement_candidate> candidates)
{
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double max_flows = std::max(max_share_factor * even_share(candidates), min_flows);
  for (placement_candidate& candidate : candidates) {
    candidate.own_domain = candidate.own_domain && candidate.open_flows <= max_flows;
  }
  return std::min_element(candidates.begin(), candidates.end(), is_better)->index;
}

}
