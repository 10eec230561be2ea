#include "coltsfootlock/coordination/steering/steering_engine.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>
#include <map>
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
  target.suspected_on_report = false;
  ++counters_.suspicions;
  report_target(target, evidence, now);
}

/// How long a target has to be silent before it may be lost. Two heartbeats, but not less than a report of another
/// daemon takes, however often the targets send heartbeats.
milliseconds
steering_engine::quiet_time() const
{
  return std::max(2 * settings_.target_heartbeat, steering_timing::alive_report_lag);
}

/// How long targets that are gone are kept, so that late packets of their flows can be attributed to them. However
/// short the lifetime of flows is, their resets are decided first.
milliseconds
steering_engine::gone_target_retention() const
{
  return std::min(std::max(settings_.flow_lifetime, quiet_time() + settings_.flow_idle),
                  steering_timing::max_gone_target_retention);
}

/// True if no packet of this daemon, and no report of another one, showed within `quiet_time` that the target is alive.
/// A record expires only after a longer silence towards the platform, so recent packets identify a target that is alive
/// but cut off from the platform. A report may be that much older than the newest answer that its daemon saw.
bool
steering_engine::is_quiet(const target_state& target, instant now) const
{
  const instant reported =
    target.reported_alive == instant{} ? instant{} : target.reported_alive + steering_timing::alive_report_lag;
  return now - std::max({ target.last_progress, reported, observing_since_ }) > quiet_time();
}

/// True if the records show now that the target is gone, and no packet shows the contrary. Without current records the
/// daemon would not learn that the target is back, or that another daemon sees it alive: such reports arrive with the
/// records, and need some time after the removal.
bool
steering_engine::is_gone(const target_state& target, instant now) const
{
  return target.phase == target_phase::gone && records_are_fresh(now) &&
         *confirmed_at_ > target.removed_at + steering_timing::report_transfer_time && is_quiet(target, now);
}

/// Load pattern: a process ends and its VM rejects first packets. Each caller that opens a flow to it loses an attempt,
/// so a target is checked soon after a first packet without an answer, and at once if another daemon found it lost. The
/// daemons that found it lost go on checking it and reporting it, so that no caller has to try it again meanwhile.
/// Other daemons that have flows to it check it as well: a caller whose next request cannot be repeated is better off
/// without the flow.
///
/// Load pattern: all targets of a group are saturated for some seconds, and sixty daemons would check each of them. A
/// check takes a connection that a busy target needs for callers. The answers that all daemons together see make checks
/// needless.
bool
steering_engine::check_is_due(const target_state& target, instant now) const
{
  if (is_busy(target, now)) {
    return false;
  }
  const bool reported =
    target.reported_lost >
    std::max({ target.last_progress, target.reported_alive, target.last_accepted_check, observing_since_ });
  if (target.awaiting_flows == 0) {
    // One of the daemons that found the target lost is enough to keep it reported.
    const bool renews_report =
      target.found_lost && now - std::max(target.reported_lost, target.check_started) > report_interval_;
    // Until a judgement ends these flows, or an answer shows that they live.
    const bool confirms_refusal = target.evidence.failures() > 0 && target.last_check_refused && target.open_flows > 0;
    return renews_report || confirms_refusal || (reported && target.open_flows > 0 && !target.checked_on_report);
  }
  const bool opening_overdue = target.pending_opens > 0 && now - std::max(target.pending_since, observing_since_) >
                                                             steering_timing::opening_check_delay;
  return opening_overdue || reported ||
         now - std::max(target.awaiting_since, observing_since_) > steering_timing::check_delay;
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
/// own domain that answers without delay is checked last: if that check is answered, the ones before it were sent. A
/// target of each other domain with a failed check is checked as well: if it answers, that domain is not partitioned.
std::vector<reachability_check>
steering_engine::start_due_checks(instant now)
{
  std::vector<target_state*> due;
  std::size_t running = 0;
  bool silence = false;
  target_state* reference_target = nullptr;
  std::map<std::string, target_state*> remote_references; // By domain; null if no target of it qualifies.
  targets_.for_each([&](target_state& target) {
    running += target.check_running ? 1 : 0;
    if (target.check_running || now < target.next_check || target.phase != target_phase::present) {
      return;
    }
    if (check_is_due(target, now)) {
      silence = silence || target.checked_in_vain;
      if (target.checked_in_vain && target.record.vm.domain != settings_.domain) {
        remote_references[target.record.vm.domain] = nullptr;
      }
      due.push_back(&target);
    } else if (target.record.vm.domain == settings_.domain && target.suspected_until <= now &&
               (reference_target == nullptr || target.last_progress > reference_target->last_progress)) {
      reference_target = &target;
    }
  });
  targets_.for_each([&](target_state& target) {
    const auto reference = remote_references.find(target.record.vm.domain);
    if (reference != remote_references.end() && !target.check_running && now >= target.next_check &&
        target.phase == target_phase::present && !check_is_due(target, now) &&
        (reference->second == nullptr || target.last_progress > reference->second->last_progress)) {
      reference->second = &target;
    }
  });
  // Leaves room for the reference targets. Targets that were not checked for the longest time come first.
  const std::size_t room = steering_timing::max_running_checks -
                           std::min(running + 1 + remote_references.size(), steering_timing::max_running_checks);
  std::sort(due.begin(), due.end(), [](const target_state* left, const target_state* right) {
    return left->check_number < right->check_number;
  });
  due.resize(std::min(due.size(), room));
  for (const auto& [domain, target] : remote_references) {
    if (target != nullptr && !due.empty()) {
      due.push_back(target);
    }
  }
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
  if (reached) {
    target->last_answered_check = now;
  }
  if (outcome == check_outcome::accepted) {
    target->evidence.clear();
    target->checked_in_vain = false;
    target->found_lost = false;
    target->checked_on_report = false;
    target->last_accepted_check = target->check_started;
    if (target->awaiting_flows > 0) { // Otherwise it was checked only as the reference target.
      target->next_check = now + steering_timing::check_interval;
    }
    return;
  }
  if (outcome == check_outcome::refused || is_conclusive(*target, now)) {
    on_failed_check(*target, outcome, now);
  } else if (target->awaiting_flows == 0) {
    target->next_check = now + steering_timing::check_interval;
  }
}

/// True if a silent check is evidence: a check that was sent after it has been answered, and it did not overlap with a
/// pause or follow soon after a start.
bool
steering_engine::is_conclusive(target_state& target, instant now)
{
  target.checked_in_vain = true;
  suspect(target, "suspected evidence=silent_check", now);
  const bool settled = target.check_started - observing_since_ > steering_timing::silent_check_grace;
  return settled && last_answered_check_ > target.check_number;
}

/// A first failed check is enough for a hint to the other daemons, and a refused one to avoid the target. Flows end
/// only by a judgement.
void
steering_engine::on_failed_check(target_state& target, check_outcome outcome, instant now)
{
  const bool refused = outcome == check_outcome::refused;
  target.evidence.add(target.check_started);
  target.last_check_refused = refused;
  target.lost_seen_at = std::max(target.lost_seen_at, target.check_started);
  observations_.push_back({ target.record.vm.id,
                            target.record.vm.incarnation,
                            std::chrono::duration_cast<milliseconds>(now - target.check_started) });
  const bool complete = target.evidence.is_complete();
  if (refused || target.evidence.failures() >= steering_timing::min_failed_checks) {
    target.found_lost = true;
    target.suspected_until = now + 2 * steering_timing::suspicion_duration;
    target.suspected_on_report = false;
  }
  // Silent attempts have taken the time of a check already.
  if (complete || (target.awaiting_flows == 0 && !refused)) {
    target.next_check = now + steering_timing::check_interval;
  } else if (refused) {
    target.next_check = now + steering_timing::refused_check_interval;
  }
  // Without a caller that waits, only a rejection ends flows.
  if (complete && (target.awaiting_flows > 0 || refused)) {
    target.evidence.await_judgement(target.check_started, now);
  }
}

/// True if no target of the target's domain answered a check, or showed progress at this daemon, since the first failed
/// check of the target. Callers of this daemon cannot reach the domain then, although its targets may run.
bool
steering_engine::domain_appears_partitioned(const target_state& target)
{
  bool answered = false;
  targets_.for_each([&](const target_state& other) {
    answered = answered || (other.record.vm.domain == target.record.vm.domain &&
                            std::max(other.last_progress, other.last_answered_check) >= target.evidence.first());
  });
  return !answered;
}

/// Judges the targets whose failed checks are enough, once reports of answers that other daemons saw meanwhile would
/// have arrived: they travel with the responses that confirm the records. Without confirmed records nothing is judged.
void
steering_engine::judge_targets(instant now)
{
  if (!confirmed_at_) {
    return;
  }
  targets_.for_each([&](target_state& target) {
    if (target.evidence.failures() == 0) {
      return;
    }
    const auto check_started = target.evidence.take_judgement(*confirmed_at_, now);
    if (!check_started || target.phase != target_phase::present ||
        (target.record.vm.domain != settings_.domain && !domain_appears_partitioned(target))) {
      return;
    }
    ++counters_.judged_targets;
    dead_targets_.push_back({ target.record.vm.id, *check_started, now });
    report_target(target, "dead evidence=" + check_evidence(target, now), now);
  });
}

/// What a judgement about a target rests on: its own checks, the last answers of its domain, and how many targets of
/// the domain are silent as well.
std::string
steering_engine::check_evidence(const target_state& target, instant now)
{
  std::size_t failing = 0;
  targets_.for_each([&](const target_state& other) {
    failing += other.evidence.failures() > 0 && other.record.vm.domain == settings_.domain ? 1 : 0;
  });
  return std::string(to_string(target.last_check_refused ? check_outcome::refused : check_outcome::silent)) +
         "_check failed_checks=" + std::to_string(target.evidence.failures()) +
         " checked_ms=" + std::to_string(milliseconds_of(now - target.evidence.first())) +
         " confirmed_ms=" + std::to_string(milliseconds_of(now - *confirmed_at_)) +
         " waiting=" + std::to_string(target.awaiting_flows) +
         " domain_check_answered_ms=" + std::to_string(milliseconds_of(now - check_answered_at_)) +
         " failing_in_domain=" + std::to_string(failing);
}

}
