#include "coltsfootlock/coordination/steering/target_directory.h"

#include <algorithm>
#include <limits>

#include <xxhash.h>

namespace coltsfootlock {

namespace {

const std::vector<target_state*> no_targets;

template<typename Index, typename Key>
void
erase_from(Index& index, const Key& key, const target_state* target)
{
  const auto found = index.find(key);
  if (found == index.end()) {
    return;
  }
  std::erase(found->second, target);
  if (found->second.empty()) {
    index.erase(found);
  }
}

template<typename Index, typename Key>
const std::vector<target_state*>&
look_up(const Index& index, const Key& key)
{
  const auto found = index.find(key);
  return found == index.end() ? no_targets : found->second;
}

}

const char*
to_string(target_phase value)
{
  switch (value) {
    case target_phase::present:
      return "present";
    case target_phase::lapsed:
      return "lapsed";
    case target_phase::gone:
      return "gone";
  }
  return "unknown";
}

target_token
token_of_tag(std::uint64_t tag)
{
  if (tag != 0 && tag <= std::numeric_limits<target_token>::max()) {
    return static_cast<target_token>(tag);
  }
  const auto token = static_cast<target_token>(XXH3_64bits(&tag, sizeof(tag)));
  return token == 0 ? 1 : token;
}

void
target_directory::index(target_state& target)
{
  by_token_[target.token].push_back(&target);
  by_group_[target.record.vm.target_group].push_back(&target);
}

void
target_directory::unindex(target_state& target)
{
  erase_from(by_token_, target.token, &target);
  erase_from(by_group_, target.record.vm.target_group, &target);
}

target_state*
target_directory::find(const vm_id& id)
{
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

const target_state*
target_directory::find(const vm_id& id) const
{
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

/// True if a record of a higher era is older than what is known of the target.
bool
target_directory::known_is_newer(const target_state& known, const target_record& record, const store_position& position)
{
  if (position.era <= known.position.era) {
    return false;
  }
  // What was removed is returned only by an entry that was written after the removal.
  return known.phase == target_phase::present ? is_older(record, known.record) : !is_older(known.record, record);
}

target_directory::effect
target_directory::publish(const target_record& record, const store_position& position, instant now)
{
  const auto [known, is_new] = targets_.try_emplace(record.vm.id);
  target_state& target = known->second;
  if (!is_new) {
    if (position >= target.position) {
      target.snapshot = snapshot_;
    }
    if (position <= target.position) {
      return effect::none;
    }
    if (known_is_newer(target, record, position)) {
      target.position = position;
      return effect::none;
    }
    if (record.vm.incarnation == 0 && target.record.vm.incarnation != 0) {
      mark_unreadable(record.vm.id, position, now);
      return effect::unreadable;
    }
    unindex(target);
  }
  // Nothing is known about a restart if one of the start times is missing.
  const bool restarted =
    !is_new && target.record.vm.incarnation != 0 && target.record.vm.incarnation != record.vm.incarnation;
  const bool moved = !is_new && target.record.vm.load_address != record.vm.load_address;
  target.check_outdated = target.check_running && (target.check_outdated || restarted || moved);
  if (is_new || restarted || target.phase == target_phase::gone) {
    target.suspected_until = instant{};
    target.evidence.clear();
    target.lost_seen_at = instant{};
    target.checked_in_vain = false;
    target.found_lost = false;
    target.checked_on_report = false;
    target.cold_allowance = 0;
    target.cold_allowance_at = now;
  }
  target.record = record;
  target.token = token_of_tag(record.tag);
  target.position = position;
  target.snapshot = snapshot_;
  target.readable = true;
  target.warm_at = now + record.warm_up_left;
  if (is_new || target.phase != target_phase::present) {
    target.phase = target_phase::present;
    target.phase_since = now;
  }
  index(target);
  return restarted ? effect::restarted : effect::changed;
}

bool
target_directory::remove(const vm_id& id, const store_position& position, instant outage_grace_end, instant now)
{
  target_state* target = find(id);
  if (target == nullptr || position <= target->position || target->phase != target_phase::present) {
    return false;
  }
  target->position = position;
  target->phase = outage_grace_end > now ? target_phase::lapsed : target_phase::gone;
  target->phase_since = now;
  target->removed_at = now;
  target->lapse_ends = outage_grace_end;
  return true;
}

void
target_directory::mark_unreadable(const vm_id& id, const store_position& position, instant now)
{
  target_state* target = find(id);
  if (target == nullptr || position <= target->position) {
    if (target != nullptr && position == target->position) {
      target->snapshot = snapshot_;
    }
    return;
  }
  target->position = position;
  target->snapshot = snapshot_;
  target->readable = false;
  target->phase = target_phase::present;
  target->phase_since = now;
}

void
target_directory::begin_snapshot()
{
  ++snapshot_;
}

std::size_t
target_directory::end_snapshot(const store_position& position, instant outage_grace_end, instant now)
{
  std::size_t missing = 0;
  for (auto& [id, target] : targets_) {
    const bool of_earlier_era = target.position.era < position.era;
    if ((target.snapshot == snapshot_ && !of_earlier_era) || target.position > position) {
      continue;
    }
    // Uses the position of the list: the record may return with the very next revision.
    missing += remove(id, position, outage_grace_end, now) ? 1 : 0;
  }
  return missing;
}

std::vector<const target_state*>
target_directory::tick(milliseconds retention,
                       std::optional<instant> confirmed_at,
                       instant outage_grace_end,
                       instant now)
{
  std::vector<const target_state*> ended;
  for (auto position = targets_.begin(); position != targets_.end();) {
    target_state& target = position->second;
    if (target.phase == target_phase::lapsed && confirmed_at &&
        *confirmed_at >= std::max(target.lapse_ends, outage_grace_end)) {
      target.phase = target_phase::gone;
      target.phase_since = now;
      ended.push_back(&target);
    }
    if (target.phase == target_phase::gone && now - target.phase_since > retention) {
      unindex(target);
      position = targets_.erase(position);
      continue;
    }
    ++position;
  }
  return ended;
}

lapsed_targets
target_directory::lapsed() const
{
  lapsed_targets result;
  for (const auto& [id, target] : targets_) {
    if (target.phase != target_phase::lapsed) {
      continue;
    }
    ++result.count;
    result.since = std::min(result.since.value_or(target.removed_at), target.removed_at);
  }
  return result;
}

const std::vector<target_state*>&
target_directory::with_token(target_token token) const
{
  return look_up(by_token_, token);
}

const std::vector<target_state*>&
target_directory::of_group(const std::string& group) const
{
  return look_up(by_group_, group);
}

void
target_directory::for_each(const std::function<void(target_state&)>& visit)
{
  for (auto& [id, target] : targets_) {
    visit(target);
  }
}

}
