#include "coltsfootlock/coordination/steering/steering_engine.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

std::int64_t
milliseconds_of(duration time)
{
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}

void
steering_engine::suspect(target_state& target, const char* evidence, instant now)
{
  if (target.suspected_until > now) {
    return;
  }
  target.suspected_until = now + steering_timing::suspicion_duration;
  ++counters_.suspicions;
  report_target(target, evidence, now);
}

/// True if no packet showed within two heartbeats that the target is alive. A record expires only after a longer
/// silence towards the platform, so recent packets identify a target that is alive but cut off from the platform.
bool
steering_engine::is_quiet(const target_state& target, instant now) const
{
  return now - std::max(target.last_progress, observing_since_) > 2 * settings_.target_heartbeat;
}

/// True if the records show now that the target is gone, and no packet shows the contrary. Without current records the
/// daemon would not learn that the target is back.
bool
steering_engine::is_gone(const target_state& target, instant now) const
{
  return target.phase == target_phase::gone && records_are_fresh(now) && is_quiet(target, now);
}

/// Load pattern: a process ends and its VM rejects first packets. Each caller that opens a flow to it loses an attempt,
/// so a target is checked soon after a first packet without an answer, and at once if another daemon found it lost. The
/// daemons that found it lost go on checking it and reporting it, so that no caller has to try it again meanwhile.
/// Other daemons that have flows to it check it as well: a caller whose next request cannot be repeated is better off
/// without the flow.
bool
steering_engine::check_is_due(const target_state& target, instant now) const
{
  const bool reported =
    target.reported_lost > std::max({ target.last_progress, target.last_accepted_check, observing_since_ });
  if (target.awaiting_flows == 0) {
    // One of the daemons that found the target lost is enough to keep it reported.
    const bool renews_report =
      target.found_lost && now - std::max(target.reported_lost, target.check_started) > report_interval_;
    return renews_report || (reported && target.open_flows > 0 && !target.checked_on_report);
  }
  const bool opening_overdue = target.pending_opens > 0 && now - std::max(target.pending_since, observing_since_) >
                                                             steering_timing::opening_check_delay;
  return opening_overdue || reported ||
         now - std::max(target.awaiting_since, observing_since_) > steering_timing::check_delay;
}

std::vector<target_observation>
steering_engine::take_observations()
{
  return std::exchange(observations_, {});
}

void
steering_engine::on_observation(const target_observation& observation, instant now)
{
  target_state* target = targets_.find(observation.target);
  const instant seen_at = now - observation.age;
  if (target == nullptr || target->record.vm.incarnation != observation.incarnation ||
      seen_at <= std::max({ target->last_progress, target->last_accepted_check, target->reported_lost })) {
    return;
  }
  target->reported_lost = seen_at;
  target->suspected_until = std::max(target->suspected_until, seen_at + steering_timing::suspicion_duration);
  ++counters_.reported_targets;
}

/// True if the records, which lack the flow's target, would show one that is back and to which the flow may have been
/// opened by another daemon. A target publishes its record within a heartbeat of its start.
bool
steering_engine::was_open_before_removal(const carried_flow& flow) const
{
  return confirmed_at_ && flow.opened + settings_.target_heartbeat <= *confirmed_at_;
}

/// Load patterns: a target stops answering, or its domain is cut off. Callers whose packets it has acknowledged wait
/// without sending anything, and its record stays for three heartbeats, which is longer than many callers wait. Only
/// targets that leave a caller without an answer for longer than usual are checked.
///
/// Load pattern: the daemon's own link is congested, so that its checks of all targets go unanswered. A target of the
/// own domain that answers without delay is checked last: if that check is answered, the ones before it were sent.
std::vector<reachability_check>
steering_engine::start_due_checks(instant now)
{
  std::vector<target_state*> due;
  std::size_t running = 0;
  bool silence = false;
  target_state* reference_target = nullptr;
  targets_.for_each([&](target_state& target) {
    running += target.check_running ? 1 : 0;
    if (target.check_running || now < target.next_check || target.phase != target_phase::present) {
      return;
    }
    if (check_is_due(target, now)) {
      silence = silence || target.checked_in_vain;
      due.push_back(&target);
    } else if (target.record.vm.domain == settings_.domain && target.suspected_until <= now &&
               (reference_target == nullptr || target.last_progress > reference_target->last_progress)) {
      reference_target = &target;
    }
  });
  // Leaves room for the reference target. Targets that were not checked for the longest time come first.
  const std::size_t room =
    steering_timing::max_running_checks - std::min(running + 1, steering_timing::max_running_checks);
  std::sort(due.begin(), due.end(), [](const target_state* left, const target_state* right) {
    return left->check_number < right->check_number;
  });
  due.resize(std::min(due.size(), room));
  if (silence && reference_target != nullptr && !due.empty()) {
    due.push_back(reference_target);
  }
  std::vector<reachability_check> checks;
  for (target_state* target : due) {
    target->check_running = true;
    target->checked_on_report = target->checked_on_report || target->reported_lost > target->last_progress;
    target->check_started = now;
    target->check_number = ++counters_.checks;
    checks.push_back({ target->record.vm.id, target->record.vm.load_address });
  }
  return checks;
}

void
steering_engine::on_check(const vm_id& id, check_outcome outcome, instant now)
{
  target_state* target = targets_.find(id);
  if (target == nullptr || !target->check_running) {
    return;
  }
  target->check_running = false;
  ++counters_.check_outcomes[static_cast<std::size_t>(outcome)];
  if (std::exchange(target->check_outdated, false)) {
    return;
  }
  const bool reached = outcome == check_outcome::accepted || outcome == check_outcome::refused;
  if (reached && target->record.vm.domain == settings_.domain) {
    check_answered_at_ = now;
    last_answered_check_ = std::max(last_answered_check_, target->check_number);
  }
  if (outcome == check_outcome::untried) {
    target->next_check = now + steering_timing::check_interval;
    return;
  }
  if (outcome == check_outcome::accepted) {
    target->silent_checks = 0;
    target->checked_in_vain = false;
    target->found_lost = false;
    target->checked_on_report = false;
    target->last_accepted_check = target->check_started;
    if (target->awaiting_flows > 0) { // Otherwise it was checked only as the reference target.
      target->next_check = now + steering_timing::check_interval;
    }
    return;
  }
  // A target of another domain may still run behind a network partition, but callers of this daemon cannot reach it
  // either.
  const unsigned silent_checks = target->silent_checks;
  const bool lost = outcome == check_outcome::refused || on_silent_check(*target, now);
  // A first conclusive silent check is enough for a hint.
  if (outcome == check_outcome::refused || target->silent_checks > silent_checks) {
    observations_.push_back(
      { id, target->record.vm.incarnation, std::chrono::duration_cast<milliseconds>(now - target->check_started) });
  }
  if (!lost) {
    if (target->awaiting_flows == 0) {
      target->next_check = now + steering_timing::check_interval;
    }
    return;
  }
  target->found_lost = true;
  target->next_check = now + steering_timing::check_interval;
  target->suspected_until = now + 2 * steering_timing::suspicion_duration;
  // Without a caller that waits, only a rejection ends flows.
  if (target->awaiting_flows > 0 || outcome == check_outcome::refused) {
    dead_targets_.push_back({ id, target->check_started, now });
    report_target(*target, "dead evidence=" + check_evidence(*target, outcome, now), now);
  }
}

/// True if enough silent checks show that the target is unreachable. A silent check is conclusive if a check that was
/// sent after it has been answered, and if it did not overlap with a pause or follow soon after a start.
bool
steering_engine::on_silent_check(target_state& target, instant now)
{
  target.checked_in_vain = true;
  suspect(target, "suspected evidence=silent_check", now);
  const bool settled = target.check_started - observing_since_ > steering_timing::silent_check_grace;
  if (!settled || last_answered_check_ <= target.check_number) {
    return false;
  }
  if (target.check_started - target.last_silent_check > steering_timing::max_silent_check_gap) {
    target.silent_checks = 0;
  }
  if (target.silent_checks++ == 0) {
    target.first_silent_check = target.check_started;
  }
  target.last_silent_check = target.check_started;
  return target.silent_checks >= steering_timing::min_silent_checks;
}

/// What a judgement about a target rests on: its own checks, the last answers of its domain, and how many targets of
/// the domain are silent as well.
std::string
steering_engine::check_evidence(const target_state& target, check_outcome outcome, instant now)
{
  std::size_t silent = 0;
  targets_.for_each([&](const target_state& other) {
    silent += other.silent_checks > 0 && other.record.vm.domain == settings_.domain ? 1 : 0;
  });
  const instant begin = target.silent_checks > 0 ? target.first_silent_check : target.check_started;
  return std::string(to_string(outcome)) + "_check silent_checks=" + std::to_string(target.silent_checks) +
         " checked_ms=" + std::to_string(milliseconds_of(now - begin)) +
         " waiting=" + std::to_string(target.awaiting_flows) +
         " domain_check_answered_ms=" + std::to_string(milliseconds_of(now - check_answered_at_)) +
         " silent_in_domain=" + std::to_string(silent);
}

/// A caller that waits for the result of a non-idempotent request could not repeat it, so its flow is not reset.
bool
steering_engine::may_reset(const flow_key& key, const carried_flow& flow) const
{
  if (!flow.answered || !flow.answer_pending) {
    return true;
  }
  const service* wanted = services_.find(key.service);
  return wanted != nullptr && wanted->idempotent;
}

bool
steering_engine::belongs_to_previous_incarnation(const carried_flow& flow,
                                                 const std::vector<restarted_target>& restarted)
{
  return std::any_of(restarted.begin(), restarted.end(), [&flow](const restarted_target& one) {
    return one.id == flow.target && flow.last_progress < one.not_before;
  });
}

/// Null if the flow was first seen, or the target answered on any flow, after the checks that found it dead.
const steering_engine::dead_target*
steering_engine::found_dead(const carried_flow& flow, const target_state& target, const std::vector<dead_target>& dead)
{
  const auto found = std::find_if(dead.begin(), dead.end(), [&](const dead_target& one) {
    return one.id == flow.target && std::max(flow.last_progress, target.last_progress) < one.check_started;
  });
  return found == dead.end() ? nullptr : &*found;
}

/// Load pattern: a target dies while callers wait for its answers. Waiting callers send no packets that could be
/// answered with a reset, so resets are sent as soon as the target is known to be lost, and the callers repeat
/// idempotent work elsewhere.
void
steering_engine::reset_flows_of_lost_targets(instant now, std::vector<reset_flow>& resets)
{
  const std::vector<restarted_target> restarted_targets = std::exchange(restarted_targets_, {});
  const std::vector<dead_target> dead_targets = std::exchange(dead_targets_, {});
  flows_.erase_if([&](const flow_key& key, carried_flow& flow) {
    const target_state* target = targets_.find(flow.target);
    if (target == nullptr) {
      return true;
    }
    const bool gone = is_gone(*target, now) && was_open_before_removal(flow);
    const bool target_restarted = belongs_to_previous_incarnation(flow, restarted_targets);
    const dead_target* dead = may_reset(key, flow) ? found_dead(flow, *target, dead_targets) : nullptr;
    if (!gone && !target_restarted && dead == nullptr) {
      return false;
    }
    const flow_end_reason reason = gone               ? flow_end_reason::target_gone
                                   : target_restarted ? flow_end_reason::target_restarted
                                                      : flow_end_reason::target_dead;
    const bool was_closing = flow.closing;
    release_flow(flow);
    // A flow that was not established through this daemon may be open at another target through another daemon.
    if (!was_closing && flow.answered) {
      ++counters_.resets[static_cast<std::size_t>(reason)];
      const instant judged = gone ? target->phase_since : dead != nullptr ? dead->found : now;
      const reset_evidence evidence{ std::chrono::duration_cast<milliseconds>(now - judged),
                                     std::chrono::duration_cast<milliseconds>(now - flow.last_packet),
                                     flow.answer_pending };
      resets.push_back({ reason, key, flow.acknowledged, flow.target, evidence });
    }
    flow.closing = true;
    return !gone; // Further packets of a flow to a target that is gone are answered with a reset as well.
  });
}

}
