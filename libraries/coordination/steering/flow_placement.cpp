#include "coltsfootlock/coordination/steering/flow_placement.h"

#include <algorithm>
#include <tuple>

namespace coltsfootlock {

namespace {

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
  if (left.caller_waits != right.caller_waits) {
    return right.caller_waits;
  }
  // Compares open_flows / slots without division.
  const auto left_load = static_cast<std::uint64_t>(left.open_flows) * std::max(right.slots, 1U);
  const auto right_load = static_cast<std::uint64_t>(right.open_flows) * std::max(left.slots, 1U);
  return std::tie(left_load, left.preference) < std::tie(right_load, right.preference);
}

}

std::optional<std::size_t>
place_flow(const std::vector<placement_candidate>& candidates)
{
  const auto best = std::min_element(candidates.begin(), candidates.end(), is_better);
  if (best == candidates.end()) {
    return std::nullopt;
  }
  return best->index;
}

}
