#include "coltsfootlock/coordination/steering/flow_placement.h"

#include <algorithm>
#include <tuple>

namespace coltsfootlock {

namespace {

/// Targets of the own domain may hold this many times the flows of an even share before flows go to other domains.
constexpr double most_shares = 2;

/// Flows that each target of the own domain may hold in any case.
constexpr double least_flows = 4;

/// Flows of this daemon that each target of its domain holds if the domains' targets were equally many.
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
  if (left.owes_answer != right.owes_answer) {
    return right.owes_answer;
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
  const double most_flows = std::max(most_shares * even_share(candidates), least_flows);
  for (placement_candidate& candidate : candidates) {
    candidate.own_domain = candidate.own_domain && candidate.open_flows <= most_flows;
  }
  return std::min_element(candidates.begin(), candidates.end(), is_better)->index;
}

}
