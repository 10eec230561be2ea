#include "coltsfootlock/coordination/steering/flow_placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include <xxhash.h>

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

/// Order without load views. `max_flows`: limit of flows for each target of the own domain.
bool
is_better(const placement_candidate& left, const placement_candidate& right, double max_flows)
{
  if (left.condition != right.condition) {
    return left.condition < right.condition;
  }
  if (left.answer_overdue != right.answer_overdue) {
    return right.answer_overdue;
  }
  const bool left_is_near = left.own_domain && left.open_flows <= max_flows;
  const bool right_is_near = right.own_domain && right.open_flows <= max_flows;
  if (left_is_near != right_is_near) {
    return left_is_near;
  }
  // Compares open_flows / slots without division.
  const auto left_load = static_cast<std::uint64_t>(left.open_flows) * std::max(right.slots, 1U);
  const auto right_load = static_cast<std::uint64_t>(right.open_flows) * std::max(left.slots, 1U);
  return std::tie(left_load, left.preference) < std::tie(right_load, right.preference);
}

/// Steps of outstanding requests per slot, by which targets without room are ordered.
constexpr double steps_per_slot = 2;

/// Position of a candidate if there are load views; lower is better.
struct loaded_rank
{
  placement_condition condition = placement_condition::serving;
  bool answer_overdue = false;
  double level =
    0; ///< 0: own domain with room; 1: other domain with room; above: without room, by outstanding requests.
  double flows_per_speed = 0;
  std::uint64_t preference = 0;

  auto operator<=>(const loaded_rank&) const = default;
};

/// A number from an exponential distribution with mean 1; the same for the same flow and preference.
double
exponential_of(std::uint64_t flow_hash, std::uint64_t preference)
{
  const std::uint64_t number = XXH3_64bits_withSeed(&flow_hash, sizeof(flow_hash), preference);
  constexpr double scale = 0x1p-53;
  return -std::log((static_cast<double>(number >> 11U) + 0.5) * scale);
}

loaded_rank
rank_of(const placement_candidate& candidate, std::uint64_t flow_hash)
{
  const double slots = std::max(candidate.slots, 1U);
  const double full_level = 2 + std::floor(steps_per_slot * outstanding_per_slot(candidate));
  const double room_level = candidate.own_domain ? 0 : 1;
  return { candidate.condition,
           candidate.answer_overdue,
           has_room(candidate) ? room_level : full_level,
           (candidate.open_flows + exponential_of(flow_hash, candidate.preference)) / (slots * candidate.speed),
           candidate.preference };
}

/// Targets of the own domain, and of the others, that are compared for one flow.
constexpr std::size_t own_domain_choices = 3;
constexpr std::size_t other_domain_choices = 2;

/// The best of `count` candidates, drawn at random in proportion to slots and speed; null without any.
const placement_candidate*
best_of_sample(const std::vector<placement_candidate>& candidates,
               bool own_domain,
               const loaded_rank& best_class,
               std::size_t count,
               std::uint64_t flow_hash)
{
  std::vector<std::pair<double, const placement_candidate*>> sample;
  for (const placement_candidate& candidate : candidates) {
    if (candidate.own_domain != own_domain || candidate.condition != best_class.condition ||
        candidate.answer_overdue != best_class.answer_overdue) {
      continue;
    }
    const double draw =
      exponential_of(flow_hash, ~candidate.preference) / (std::max(candidate.slots, 1U) * candidate.speed);
    sample.emplace_back(draw, &candidate);
  }
  const std::size_t size = std::min(count, sample.size());
  std::partial_sort(sample.begin(), sample.begin() + static_cast<std::ptrdiff_t>(size), sample.end());
  sample.resize(size);
  const auto best = std::min_element(sample.begin(), sample.end(), [flow_hash](const auto& left, const auto& right) {
    return rank_of(*left.second, flow_hash) < rank_of(*right.second, flow_hash);
  });
  return best == sample.end() ? nullptr : best->second;
}

/// Load pattern: a burst leaves room at a few targets, and views are up to a second old. If all daemons compared all
/// targets, they would send their flows to the same few targets, which reset what they cannot accept. With a small
/// random sample for each flow, a target with room gets a bounded multiple of its share.
std::size_t
place_by_load(const std::vector<placement_candidate>& candidates, std::uint64_t flow_hash)
{
  loaded_rank best_class{ placement_condition::doubtful, true, 0, 0, 0 };
  for (const placement_candidate& candidate : candidates) {
    best_class = std::min(best_class, loaded_rank{ candidate.condition, candidate.answer_overdue, 0, 0, 0 });
  }
  const placement_candidate* own = best_of_sample(candidates, true, best_class, own_domain_choices, flow_hash);
  if (own != nullptr && has_room(*own)) {
    return own->index;
  }
  const placement_candidate* other = best_of_sample(candidates, false, best_class, other_domain_choices, flow_hash);
  if (own == nullptr || (other != nullptr && rank_of(*other, flow_hash) < rank_of(*own, flow_hash))) {
    return other->index;
  }
  return own->index;
}

}

double
outstanding_per_slot(const placement_candidate& candidate)
{
  const double own = candidate.awaiting;
  return std::max(candidate.outstanding.value_or(0), own) / std::max(candidate.slots, 1U);
}

bool
has_room(const placement_candidate& candidate)
{
  return outstanding_per_slot(candidate) < max_outstanding_per_slot;
}

const char*
to_string(placement_room value)
{
  switch (value) {
    case placement_room::own_domain:
      return "own_domain";
    case placement_room::other_domain:
      return "other_domain";
    case placement_room::none:
      return "none";
  }
  return "unknown";
}

placement_room
room_of(const placement_candidate& candidate)
{
  if (!has_room(candidate)) {
    return placement_room::none;
  }
  return candidate.own_domain ? placement_room::own_domain : placement_room::other_domain;
}

bool
has_load_views(const std::vector<placement_candidate>& candidates)
{
  return std::any_of(candidates.begin(), candidates.end(), [](const auto& one) { return one.outstanding.has_value(); });
}

std::optional<std::size_t>
place_flow(const std::vector<placement_candidate>& candidates, std::uint64_t flow_hash)
{
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (has_load_views(candidates)) {
    return place_by_load(candidates, flow_hash);
  }
  const double max_flows = std::max(max_share_factor * even_share(candidates), min_flows);
  return std::min_element(
           candidates.begin(),
           candidates.end(),
           [max_flows](const auto& left, const auto& right) { return is_better(left, right, max_flows); })
    ->index;
}

}
