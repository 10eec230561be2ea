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

/// True if there is room for a new entry.
bool
observation_board::make_room(observation_kind kind)
{
  if (entries_.size() < max_entries) {
    return true;
  }
  if (kind != observation_kind::alive) {
    return false;
  }
  auto oldest = entries_.end();
  for (auto position = entries_.begin(); position != entries_.end(); ++position) {
    if (position->first.second == observation_kind::lost &&
        (oldest == entries_.end() || position->second.seen_at < oldest->second.seen_at)) {
      oldest = position;
    }
  }
  if (oldest == entries_.end()) {
    return false;
  }
  entries_.erase(oldest);
  return true;
}

/// True if the observation is merged, false if it is to be passed on at once.
bool
observation_board::merge_alive(entry& known, instant seen_at, origin from, instant now) const
{
  if (now - known.passed_on_at >= min_alive_renewal && seen_at > known.seen_at) {
    return false;
  }
  if (seen_at > known.seen_at) {
    known.seen_at = seen_at;
    known.merged = true;
    known.unsent = from != origin::source;
  }
  return true;
}

bool
observation_board::is_refuted(const vm_id& target, instant lost_at) const
{
  const auto alive = entries_.find({ target, observation_kind::alive });
  return alive != entries_.end() && alive->second.seen_at >= lost_at;
}

bool
observation_board::add(const target_observation& observation, origin from, instant now)
{
  remove_old(now);
  if (observation.age > max_age || observation.age < milliseconds(0)) {
    return false;
  }
  const instant seen_at = now - observation.age;
  const key which{ observation.target, observation.kind };
  const auto found = entries_.find(which);
  if (observation.kind == observation_kind::alive) {
    // An answer shows that the target runs, whichever incarnation the observer knows.
    if (found != entries_.end() && merge_alive(found->second, seen_at, from, now)) {
      return false;
    }
  } else {
    if (is_refuted(observation.target, seen_at)) {
      return false;
    }
    if (found != entries_.end() && found->second.incarnation == observation.incarnation) {
      const entry& known = found->second;
      const bool was_refuted =
        is_refuted(observation.target, known.seen_at) && now - known.passed_on_at >= min_alive_renewal;
      if (seen_at < known.seen_at + (was_refuted ? milliseconds(1) : min_renewal)) {
        return false;
      }
    }
  }
  if (found == entries_.end() && !make_room(observation.kind)) {
    return false;
  }
  entries_[which] = { observation.incarnation, seen_at, ++newest_, now, false, from != origin::source };
  return true;
}

observation_list
observation_board::since(std::uint64_t number, instant now) const
{
  const std::uint64_t after = number > newest_ ? 0 : number;
  observation_list result;
  result.newest = newest_;
  for (const auto& [which, known] : entries_) {
    if ((known.number > after || known.merged) && now - known.seen_at <= max_age) {
      result.observations.push_back({ which.first, known.incarnation, age_at(known.seen_at, now), which.second });
    }
  }
  return result;
}

std::vector<target_observation>
observation_board::unsent(std::size_t limit, instant now) const
{
  std::vector<target_observation> result;
  for (const auto& [which, known] : entries_) {
    const bool waits = known.merged && now - known.passed_on_at < min_alive_renewal;
    if (known.unsent && !waits && now - known.seen_at <= max_age) {
      result.push_back({ which.first, known.incarnation, age_at(known.seen_at, now), which.second });
    }
  }
  std::stable_sort(result.begin(), result.end(), [](const auto& left, const auto& right) {
    return left.kind != right.kind ? left.kind == observation_kind::alive : left.age > right.age;
  });
  result.resize(std::min(result.size(), limit));
  return result;
}

void
observation_board::on_sent(const std::vector<target_observation>& observations, instant taken_at)
{
  for (const target_observation& sent : observations) {
    const auto found = entries_.find({ sent.target, sent.kind });
    // A later observation may have replaced the one that was sent, or may have been merged into it.
    if (found != entries_.end() && found->second.incarnation == sent.incarnation &&
        found->second.seen_at <= taken_at - sent.age) {
      found->second.unsent = false;
      found->second.passed_on_at = taken_at;
    }
  }
}

}
