#include "coltsfootlock/coordination/steering/steering_engine.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

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
    flow.last_packet = now; // Kept from now on: the caller may send more packets before it receives the reset.
    return !gone;           // Further packets of a flow to a target that is gone are answered with a reset as well.
  });
}

}
