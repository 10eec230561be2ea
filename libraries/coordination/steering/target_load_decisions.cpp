#include "coltsfootlock/coordination/steering/steering_engine.h"

#include <algorithm>
#include <map>

namespace coltsfootlock {

namespace {

struct answer_sums
{
  double answers = 0;
  double answer_ms = 0;

  double mean_ms() const { return answers > 0 ? answer_ms / answers : 0; }
};

}

/// Load patterns: some targets run at half speed, and targets start while callers wait. Each call renews the pace of
/// the targets that have a view, compared with the answers of their groups, and the slow starts.
void
steering_engine::set_target_loads(const std::vector<target_load_view>& views, instant now)
{
  forget_target_loads();
  std::vector<target_state*> seen;
  seen.reserve(views.size());
  std::map<std::string_view, answer_sums> groups;
  for (const target_load_view& view : views) {
    target_state* target = targets_.find(view.target);
    if (target == nullptr) {
      continue;
    }
    const bool is_new = target->load_seen_at != now; // The same totals are set again while no newer ones arrive.
    target->load = view;
    target->load_seen_at = now;
    loaded_targets_.push_back(view.target);
    if (is_new) {
      target->awaiting_at_load = target->awaiting_flows;
    }
    if (view.answers > 0) {
      const bool was_suspected = target->suspected_until > now;
      ramp_up_if_recovered(*target, now);
      on_alive_observation(*target, now - max_load_view_age);
      if (was_suspected && target->suspected_until <= now) {
        ramp_up(*target, now);
      }
    }
    if (is_new && view.outstanding < max_outstanding_per_slot * std::max(target->record.slots, 1U)) {
      target->pace = add_window(target->pace, view, now);
    }
    answer_sums& group = groups[target->record.vm.target_group];
    group.answers += target->pace.answers;
    group.answer_ms += target->pace.answer_ms;
    seen.push_back(target);
  }
  for (target_state* target : seen) {
    const double group_mean_ms = groups[target->record.vm.target_group].mean_ms();
    target->pace = compare_with_group(target->pace, group_mean_ms);
    target->ramp = observe_answers(target->ramp, *target->load, group_mean_ms, now);
  }
}

/// True if a fresh view shows that the target answers and has no room. Its silence is then a sign of load.
bool
steering_engine::is_busy(const target_state& target, instant now)
{
  return target.load && now - target.load_seen_at <= max_load_view_age && target.load->answers > 0 &&
         target.load->outstanding >= max_outstanding_per_slot * std::max(target.record.slots, 1U);
}

/// True if the record allows new flows.
bool
steering_engine::takes_flows(const target_state& target)
{
  return target.phase == target_phase::present && target.readable && !target.record.vm.leaving;
}

void
steering_engine::ramp_up(target_state& target, instant start)
{
  target.pace = {};
  target.ramp = begin_ramp(start);
}

/// Starts slowly once the target is no longer suspected.
void
steering_engine::ramp_up_if_recovered(target_state& target, instant now)
{
  if (target.suspected_until <= now && target.suspected_until > target.ramp.since) {
    ramp_up(target, target.suspected_until);
  }
}

/// Load pattern: a domain returns while callers wait. Its targets are idle and attract the new flows of all daemons.
void
steering_engine::ramp_up_domain(const std::string& domain, instant now)
{
  targets_.for_each([&](target_state& target) {
    if (target.record.vm.domain == domain) {
      ramp_up(target, std::max(now, target.warm_at));
    }
  });
}

/// Adds what is known of the target's load and speed. A view is an average over a past window; the change in the number
/// of callers of this daemon that wait for the target corrects it.
void
steering_engine::add_load(target_state& target, instant now, placement_candidate& candidate)
{
  ramp_up_if_recovered(target, now);
  target.ramp = advance_ramp(target.ramp, now);
  candidate.speed = pace_at(target.pace, now) * target.ramp.fraction;
  candidate.awaiting = target.awaiting_flows;
  if (!target.load || now - target.load_seen_at > max_load_view_age) {
    return;
  }
  const double change = static_cast<double>(target.awaiting_flows) - static_cast<double>(target.awaiting_at_load);
  candidate.outstanding = std::max(target.load->outstanding + change, 0.0);
}

void
steering_engine::forget_target_loads()
{
  for (const vm_id& id : loaded_targets_) {
    if (target_state* target = targets_.find(id)) {
      target->load.reset();
    }
  }
  loaded_targets_.clear();
}

std::vector<group_load>
steering_engine::group_loads(const std::vector<target_load>& rows)
{
  std::map<std::string, group_load> sums;
  for (const target_load& row : rows) {
    if (const target_state* target = targets_.find(row.target)) {
      group_load& sum = sums[target->record.vm.target_group];
      sum.outstanding += static_cast<double>(row.answer_ms) / static_cast<double>(load_window.count());
      sum.answers += row.answers;
    }
  }
  std::vector<group_load> result;
  result.reserve(sums.size());
  for (const auto& [group, sum] : sums) {
    std::uint64_t own_slots = 0;
    std::uint64_t all_slots = 0;
    for (const target_state* target : targets_.of_group(group)) {
      if (target->phase == target_phase::gone || target->record.vm.leaving) {
        continue;
      }
      all_slots += target->record.slots;
      own_slots += target->record.vm.domain == settings_.domain ? target->record.slots : 0;
    }
    result.push_back({ group, sum.outstanding, own_slots > 0 ? own_slots : all_slots, sum.answers });
  }
  return result;
}

std::vector<group_load>
steering_engine::known_group_loads(instant now) const
{
  std::map<std::string, group_load> sums;
  for (const vm_id& id : loaded_targets_) {
    const target_state* target = targets_.find(id);
    if (target == nullptr || !target->load || now - target->load_seen_at > max_load_view_age) {
      continue;
    }
    group_load& sum = sums[target->record.vm.target_group];
    sum.outstanding += target->load->outstanding;
    sum.slots += target->record.slots;
    sum.answers += target->load->answers;
  }
  std::vector<group_load> result;
  result.reserve(sums.size());
  for (const auto& [group, sum] : sums) {
    result.push_back({ group, sum.outstanding, sum.slots, sum.answers });
  }
  return result;
}

}
