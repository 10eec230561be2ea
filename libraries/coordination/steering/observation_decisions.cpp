#include "coltsfootlock/coordination/steering/steering_engine.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

std::vector<target_observation>
steering_engine::take_observations()
{
  return std::exchange(observations_, {});
}

void
steering_engine::on_observation(const target_observation& observation, instant now)
{
  target_state* target = targets_.find(observation.target);
  if (target == nullptr) {
    return;
  }
  const instant seen_at = now - observation.age;
  if (observation.kind == observation_kind::alive) {
    on_alive_observation(*target, seen_at);
    return;
  }
  if (target->record.vm.incarnation != observation.incarnation) {
    return;
  }
  target->lost_seen_at = std::max(target->lost_seen_at, seen_at);
  report_if_alive(*target, now);
  if (seen_at <=
      std::max({ target->last_progress, target->reported_alive, target->last_accepted_check, target->reported_lost })) {
    return;
  }
  target->reported_lost = seen_at;
  const instant suspected_until = seen_at + steering_timing::suspicion_duration;
  if (suspected_until > target->suspected_until) {
    target->suspected_on_report = target->suspected_on_report || target->suspected_until <= now;
    target->suspected_until = suspected_until;
  }
  ++counters_.reported_targets;
}

/// Another daemon saw an answer at `seen_at`. The incarnation that it knows does not matter: an answer shows that the
/// target runs. Doubts that rest on this daemon's own callers remain, since those got no answer.
void
steering_engine::on_alive_observation(target_state& target, instant seen_at)
{
  if (seen_at <= target.reported_alive) {
    return;
  }
  target.reported_alive = seen_at;
  if (target.evidence.failures() > 0 && seen_at > target.evidence.first()) {
    target.evidence.clear();
    target.found_lost = false;
    ++counters_.refuted_judgements;
  }
  if (target.suspected_on_report && seen_at > target.reported_lost) {
    target.suspected_until = instant{};
    target.suspected_on_report = false;
  }
}

/// Load pattern: a saturated target refuses attempts of another daemon, or its record expires while it serves. This
/// daemon sees its answers and says so once a second, with the time of the newest one. An answer whose time is
/// uncertain counts from the earliest possible one: a false report would keep the callers of a dead target waiting
/// everywhere.
void
steering_engine::report_if_alive(target_state& target, instant now)
{
  const bool taken_for_lost = target.lost_seen_at != instant{} && target.last_answer > target.lost_seen_at &&
                              now - target.lost_seen_at <= steering_timing::suspicion_duration;
  const bool taken_for_gone = target.phase != target_phase::present && now - target.last_answer <= quiet_time();
  if ((!taken_for_lost && !taken_for_gone) ||
      target.last_answer <= std::max(target.own_alive_seen_at, target.reported_alive) ||
      now - target.own_alive_report_at < steering_timing::alive_report_interval) {
    return;
  }
  target.own_alive_seen_at = target.last_answer;
  target.own_alive_report_at = now;
  ++counters_.alive_reports;
  observations_.push_back({ target.record.vm.id,
                            target.record.vm.incarnation,
                            std::chrono::duration_cast<milliseconds>(now - target.last_answer),
                            observation_kind::alive });
}

}
