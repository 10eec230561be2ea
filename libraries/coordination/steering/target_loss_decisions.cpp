#include "coltsfootlock/coordination/steering/steering_engine.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

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

/// True if nothing has shown for two heartbeats that the target is alive. A target whose record expired was silent to
/// the platform for longer than that, so one that is alive but cut off from the platform is told apart by its packets.
bool
steering_engine::is_quiet(const target_state& target, instant now) const
{
  return now - std::max(target.last_progress, observing_since_) > 2 * settings_.target_heartbeat;
}

/// Load patterns: a target falls silent, or its domain is cut off. Callers whose packets it has taken wait without
/// sending anything, and its record stays for three heartbeats, longer than many callers have. Whether its process is
/// there is asked only where a target owes an answer for longer than usual.
std::vector<reachability_check>
steering_engine::start_due_checks(instant now)
{
  std::vector<reachability_check> checks;
  bool silence = false;
  target_state* reference_target = nullptr;
  const auto start = [this, &checks](target_state& target) {
    target.check_running = true;
    ++counters_.checks;
    checks.push_back({ target.record.vm.id, target.record.vm.load_address });
  };
  targets_.for_each([&](target_state& target) {
    silence = silence || (target.silent_checks > 0 && target.awaiting_flows > 0 && !target.dead);
    if (target.check_running || target.dead || now < target.next_check || target.phase != target_phase::present) {
      return;
    }
    const bool due = target.awaiting_flows > 0 &&
                     now - std::max(target.awaiting_since, observing_since_) > steering_timing::check_delay;
    if (due) {
      start(target);
    } else if (target.record.vm.domain == settings_.domain && target.suspected_until <= now &&
               (reference_target == nullptr || target.last_progress > reference_target->last_progress)) {
      reference_target = &target;
    }
  });
  // With most targets of the domain silent, few flows show that this daemon still reaches the others.
  if (silence && reference_target != nullptr && now - domain_reached_at_ > steering_timing::domain_reachable_window / 2) {
    start(*reference_target);
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
  const bool reached = outcome == check_outcome::accepted || outcome == check_outcome::refused;
  if (reached && target->record.vm.domain == settings_.domain) {
    domain_reached_at_ = now;
  }
  if (outcome == check_outcome::untried) {
    target->next_check = now + steering_timing::check_interval;
    return;
  }
  if (outcome == check_outcome::accepted) {
    target->silent_checks = 0;
    if (target->awaiting_flows > 0) { // Or else it was asked as a witness.
      target->next_check = now + steering_timing::check_interval;
    }
    return;
  }
  if (outcome == check_outcome::silent) {
    ++target->silent_checks;
    suspect(*target, "suspected evidence=silent_check", now);
  }
  const bool waits = target->awaiting_flows > 0;
  if (waits && (outcome == check_outcome::refused || is_unreachable(*target, now))) {
    target->dead = true;
    target->suspected_until = now + 2 * steering_timing::suspicion_duration;
    dead_target_found_ = true;
    report_target(*target, (std::string("dead evidence=") + to_string(outcome) + "_check").c_str(), now);
  }
}

/// True if the target answers no checks although this daemon reaches its own domain. A target of another domain may
/// work on behind a cut; its callers here are cut off from it all the same.
bool
steering_engine::is_unreachable(const target_state& target, instant now) const
{
  const bool settled = now - observing_since_ > steering_timing::silent_check_grace;
  const bool others_answer = now - domain_reached_at_ < steering_timing::domain_reachable_window &&
                             domain_reached_at_ > std::max(target.awaiting_since, observing_since_);
  return settled && others_answer && target.silent_checks >= steering_timing::min_silent_checks;
}

/// A caller that waits for something that it must not repeat loses nothing by waiting on.
bool
steering_engine::may_reset(const flow_key& key, const carried_flow& flow) const
{
  if (!flow.answered || !flow.response_pending) {
    return true;
  }
  const service* wanted = services_.find(key.service);
  return wanted != nullptr && wanted->idempotent;
}

/// Load pattern: a target dies while callers wait for its answers. They send nothing, so no packet asks; they are told
/// as soon as the target is known to be gone, and repeat idempotent work elsewhere.
void
steering_engine::reset_flows_of_lost_targets(instant now, std::vector<reset_flow>& resets)
{
  const std::vector<vm_id> restarted = std::exchange(restarted_, {});
  flows_.erase_if([&](const flow_key& key, const carried_flow& flow) {
    const target_state* target = targets_.find(flow.target);
    if (target == nullptr) {
      return true;
    }
    const bool gone = target->phase == target_phase::gone && is_quiet(*target, now);
    const bool target_restarted = std::find(restarted.begin(), restarted.end(), flow.target) != restarted.end() &&
                              now - std::max(flow.last_progress, flow.opened) > settings_.target_heartbeat;
    const bool dead = target->dead && may_reset(key, flow);
    if (!gone && !target_restarted && !dead) {
      return false;
    }
    const flow_end_reason reason = gone           ? flow_end_reason::target_gone
                                   : target_restarted ? flow_end_reason::target_restarted
                                                  : flow_end_reason::target_dead;
    release_flow(flow);
    // A flow that this daemon has not seen open may be open at another target, through another daemon.
    if (!flow.closing && flow.answered) {
      ++counters_.resets[static_cast<std::size_t>(reason)];
      resets.push_back({ reason, key, flow.acknowledged, flow.target });
    }
    return true;
  });
}

}
