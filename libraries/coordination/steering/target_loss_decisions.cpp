#include "coltsfootlock/coordination/steering/steering_engine.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

void
steering_engine::suspect(known_target& target, const char* evidence, instant now)
{
  if (target.suspected_until > now) {
    return;
  }
  target.suspected_until = now + steering_timing::suspicion;
  ++counters_.suspicions;
  report_target(target, evidence, now);
}

/// True if nothing has shown for two heartbeats that the target is alive. A target whose record expired was silent to
/// the platform for longer than that, so one that is alive but cut off from the platform is told apart by its packets.
bool
steering_engine::is_quiet(const known_target& target, instant now) const
{
  return now - std::max(target.last_progress, evidence_from_) > 2 * settings_.target_heartbeat;
}

/// Load patterns: a target falls silent, or its domain is cut off. Callers whose packets it has taken wait without
/// sending anything, and its record stays for three heartbeats, longer than many callers have. Whether its process is
/// there is asked only where a target owes an answer for longer than usual.
std::vector<reachability_check>
steering_engine::take_checks(instant now)
{
  std::vector<reachability_check> checks;
  bool silence = false;
  known_target* witness = nullptr;
  const auto start = [this, &checks](known_target& target) {
    target.check_running = true;
    ++counters_.checks;
    checks.push_back({ target.record.vm.id, target.record.vm.load_address });
  };
  targets_.for_each([&](known_target& target) {
    silence = silence || (target.silent_checks > 0 && target.awaiting_flows > 0 && !target.dead);
    if (target.check_running || target.dead || now < target.next_check || target.phase != target_phase::present) {
      return;
    }
    const bool due = target.awaiting_flows > 0 &&
                     now - std::max(target.awaiting_since, evidence_from_) > steering_timing::answer_before_check;
    if (due) {
      start(target);
    } else if (target.record.vm.domain == settings_.domain && target.suspected_until <= now &&
               (witness == nullptr || target.last_progress > witness->last_progress)) {
      witness = &target;
    }
  });
  // With most targets of the domain silent, few flows show that this daemon still reaches the others.
  if (silence && witness != nullptr && now - domain_reached_at_ > steering_timing::recent_progress / 2) {
    start(*witness);
  }
  return checks;
}

void
steering_engine::on_check(const vm_id& id, check_outcome outcome, instant now)
{
  known_target* target = targets_.find(id);
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
    target->suspected_until = now + 2 * steering_timing::suspicion;
    found_dead_ = true;
    report_target(*target, (std::string("dead evidence=") + to_string(outcome) + "_check").c_str(), now);
  }
}

/// True if the target answers no checks although this daemon reaches its own domain. A target of another domain may
/// work on behind a cut; its callers here are cut off from it all the same.
bool
steering_engine::is_unreachable(const known_target& target, instant now) const
{
  const bool settled = now - evidence_from_ > steering_timing::silence_proves_from;
  const bool others_answer = now - domain_reached_at_ < steering_timing::recent_progress &&
                             domain_reached_at_ > std::max(target.awaiting_since, evidence_from_);
  return settled && others_answer && target.silent_checks >= steering_timing::silent_checks_of_dead_target;
}

/// A caller that waits for something that it must not repeat loses nothing by waiting on.
bool
steering_engine::may_end(const flow_key& key, const flow_note& note) const
{
  if (!note.answered || !note.awaits_answer) {
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
  flows_.erase_if([&](const flow_key& key, const flow_note& note) {
    const known_target* target = targets_.find(note.target);
    if (target == nullptr) {
      return true;
    }
    const bool gone = target->phase == target_phase::gone && is_quiet(*target, now);
    const bool started_anew = std::find(restarted.begin(), restarted.end(), note.target) != restarted.end() &&
                              now - std::max(note.last_progress, note.opened) > settings_.target_heartbeat;
    const bool dead = target->dead && may_end(key, note);
    if (!gone && !started_anew && !dead) {
      return false;
    }
    const flow_end_reason reason = gone           ? flow_end_reason::target_gone
                                   : started_anew ? flow_end_reason::target_restarted
                                                  : flow_end_reason::target_dead;
    forget(note);
    // A flow that this daemon has not seen open may be open at another target, through another daemon.
    if (!note.closing && note.answered) {
      ++counters_.resets[static_cast<std::size_t>(reason)];
      resets.push_back({ reason, key, note.acknowledged, note.target });
    }
    return true;
  });
}

}
