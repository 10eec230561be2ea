#include "coltsfootlock/coordination/steering/observation_board.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

milliseconds
age_at(instant seen_at, instant now)
{
  return std::max(std::chrono::duration_cast<milliseconds>(now - seen_at), milliseconds(0));
}

}

void
observation_board::remove_old(instant now)
{
  std::erase_if(entries_, [now](const auto& item) { return now - item.second.seen_at > max_age; });
}

bool
observation_board::add(const target_observation& observation, origin from, instant now)
{
  remove_old(now);
  if (observation.age > max_age || observation.age < milliseconds(0)) {
    return false;
  }
  const instant seen_at = now - observation.age;
  const auto found = entries_.find(observation.target);
  if (found == entries_.end() && entries_.size() >= max_entries) {
    return false;
  }
  if (found != entries_.end() && found->second.incarnation == observation.incarnation &&
      seen_at < found->second.seen_at + min_renewal) {
    return false;
  }
  entries_[observation.target] = { observation.incarnation, seen_at, ++newest_, from != origin::source };
  return true;
}

observation_list
observation_board::since(std::uint64_t number, instant now) const
{
  const std::uint64_t after = number > newest_ ? 0 : number;
  observation_list result;
  result.newest = newest_;
  for (const auto& [target, known] : entries_) {
    if (known.number > after && now - known.seen_at <= max_age) {
      result.observations.push_back({ target, known.incarnation, age_at(known.seen_at, now) });
    }
  }
  return result;
}

std::vector<target_observation>
observation_board::unsent(std::size_t limit, instant now) const
{
  std::vector<target_observation> result;
  for (const auto& [target, known] : entries_) {
    if (known.unsent && now - known.seen_at <= max_age) {
      result.push_back({ target, known.incarnation, age_at(known.seen_at, now) });
    }
  }
  std::stable_sort(
    result.begin(), result.end(), [](const auto& left, const auto& right) { return left.age > right.age; });
  result.resize(std::min(result.size(), limit));
  return result;
}

void
observation_board::on_sent(const std::vector<target_observation>& observations)
{
  for (const target_observation& sent : observations) {
    const auto found = entries_.find(sent.target);
    if (found != entries_.end() && found->second.incarnation == sent.incarnation) {
      found->second.unsent = false;
    }
  }
}

}
