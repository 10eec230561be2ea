#include "coltsfootlock/coordination/steering/steering_engine.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

/// Compares positions of a stream, which wrap around.
bool
is_after(std::uint32_t left, std::uint32_t right)
{
  return static_cast<std::int32_t>(left - right) > 0;
}

}

target_state*
steering_engine::find_named_target(const carried_packet& packet, drop_reason& why)
{
  const auto& matches = targets_.with_token(packet.token);
  if (packet.token == 0 || matches.empty()) {
    why = drop_reason::unknown_target;
    return nullptr;
  }
  if (matches.size() == 1) {
    return matches.front();
  }
  // Two tags can have the same token. The daemon that opened the flow has the chosen target in its flow table.
  if (const carried_flow* flow = flows_.find(packet.flow)) {
    const auto found = std::find_if(
      matches.begin(), matches.end(), [flow](const auto* target) { return target->record.vm.id == flow->target; });
    if (found != matches.end()) {
      return *found;
    }
  }
  why = drop_reason::ambiguous_target;
  return nullptr;
}

steering_decision
steering_engine::on_established(const carried_packet& packet, instant now)
{
  drop_reason why = drop_reason::unknown_target;
  target_state* target = find_named_target(packet, why);
  if (target == nullptr) {
    return drop(why);
  }
  carried_flow* flow = flows_.find(packet.flow);
  if (flow != nullptr && is_gone(*target, now) && was_open_before_removal(*flow)) {
    release_flow(*flow);
    flow->closing = true; // Kept for a while: the caller may send more packets before it receives the reset.
    flow->last_packet = now;
    return reset(flow_end_reason::target_gone, packet, target->record.vm.id);
  }
  observe_packet(packet, *target, now);
  return forward(forward_reason::named, *target);
}

/// Updates the flow and the health of its target from a packet of an open flow. New acknowledged data shows that the
/// target is alive; retransmissions indicate that it does not answer.
void
steering_engine::observe_packet(const carried_packet& packet, target_state& target, instant now)
{
  carried_flow* flow = flows_.find(packet.flow);
  const std::uint32_t end = packet.sequence + static_cast<std::uint32_t>(packet.payload_bytes);
  if (flow != nullptr && flow->target != target.record.vm.id) {
    release_flow(*flow);
    flows_.erase(packet.flow);
    flow = nullptr;
  }
  if (packet.resets || (flow == nullptr && packet.closes)) {
    if (flow != nullptr) {
      release_flow(*flow);
      flows_.erase(packet.flow);
    }
    return;
  }
  if (flow == nullptr) {
    flow = flows_.add(packet.flow, target.record.vm.id, now);
    if (flow == nullptr) {
      return;
    }
    ++target.open_flows;
    flow->acknowledged = packet.acknowledged;
    flow->sent_up_to = end;
    flow->answered = true;
    return;
  }
  const bool acknowledges = !flow->answered || is_after(packet.acknowledged, flow->acknowledged);
  // A request may acknowledge answers that the caller received long ago, while its packets passed another daemon.
  const bool may_be_late = flow->answered && !flow->answer_pending && packet.payload_bytes > 0;
  const bool progress = acknowledges && !may_be_late;
  const bool repeats = !progress && packet.payload_bytes > 0 && !is_after(end, flow->sent_up_to);
  // A request that acknowledges an answer may do so late, as above. The answer came after the flow's previous packet.
  const instant answered_at = flow->answered && packet.payload_bytes > 0 ? flow->last_packet : now;
  flow->last_packet = now;
  if (acknowledges) {
    flow->acknowledged = packet.acknowledged;
  }
  if (progress) {
    on_target_progress(*flow, target, answered_at, now);
  }
  if (is_after(end, flow->sent_up_to)) {
    flow->sent_up_to = end;
    if (packet.payload_bytes > 0) {
      // The time at which a packet of a backlog was queued is not known.
      flow->request_sent = backlog_ ? instant{} : now;
    }
    if (packet.payload_bytes > 0 && !flow->answer_pending) {
      flow->answer_pending = true;
      start_awaiting(target, now);
    }
  }
  if (!progress && packet.payload_bytes > 0) {
    isolation_.on_request(now);
  }
  target.repeated_packets += repeats ? 1 : 0;
  if (repeats && target.repeated_packets >= steering_timing::repeats_before_suspicion &&
      now - std::max(target.last_progress, observing_since_) > steering_timing::suspicion_delay) {
    suspect(target, "suspected evidence=unanswered_data", now);
  }
  if (packet.closes && !flow->closing) {
    release_flow(*flow);
    flow->closing = true;
  }
}

/// Handles evidence that the target is alive: it answered on this flow, at `answered_at` or later.
void
steering_engine::on_target_progress(carried_flow& flow, target_state& target, instant answered_at, instant now)
{
  if (!flow.answered && target.pending_opens > 0) {
    --target.pending_opens;
  }
  if ((!flow.answered || flow.answer_pending) && target.awaiting_flows > 0) {
    --target.awaiting_flows;
  }
  if (flow.answer_pending && flow.request_sent >= observing_since_) {
    load_meter_.on_answer(target.record.vm.id, now - flow.request_sent, now);
  }
  flow.answered = true;
  flow.answer_pending = false;
  flow.last_progress = now;
  target.last_progress = now;
  target.last_answer = std::max(target.last_answer, answered_at);
  target.repeated_packets = 0;
  target.awaiting_since = now;
  target.evidence.clear();
  target.checked_in_vain = false;
  target.found_lost = false;
  target.checked_on_report = false;
  isolation_.on_progress();
  target.pending_since = now;
  if (target.suspected_until > now) {
    ramp_up(target, now);
  }
  target.suspected_until = instant{};
  report_if_alive(target, now);
}

void
steering_engine::start_awaiting(target_state& target, instant now)
{
  if (target.awaiting_flows++ == 0) {
    target.awaiting_since = now;
  }
}

/// Removes the flow from the counts of its target.
void
steering_engine::release_flow(const carried_flow& flow)
{
  target_state* target = targets_.find(flow.target);
  if (target == nullptr || flow.closing) {
    return;
  }
  if (target->open_flows > 0) {
    --target->open_flows;
  }
  if (!flow.answered && target->pending_opens > 0) {
    --target->pending_opens;
  }
  if ((!flow.answered || flow.answer_pending) && target->awaiting_flows > 0) {
    --target->awaiting_flows;
  }
}

void
steering_engine::expire_idle_flows(instant now)
{
  const catalogue* services = services_.current();
  const milliseconds idle =
    services != nullptr && services->flow_idle_ms > 0 ? milliseconds(services->flow_idle_ms) : settings_.flow_idle;
  flows_.erase_if([&](const flow_key&, const carried_flow& flow) {
    const milliseconds limit = flow.closing     ? steering_timing::closing_retention
                               : !flow.answered ? steering_timing::open_timeout
                                                : idle;
    if (now - flow.last_packet <= limit) {
      return false;
    }
    release_flow(flow);
    target_state* target = targets_.find(flow.target);
    if (!flow.answered && target != nullptr && target->last_progress < flow.opened) {
      suspect(*target, "suspected evidence=unanswered_open", now);
    }
    return true;
  });
}

}
