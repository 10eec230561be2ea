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

known_target*
steering_engine::named_target(const carried_packet& packet, drop_reason& why)
{
  const auto& matches = targets_.with_token(packet.token);
  if (packet.token == 0 || matches.empty()) {
    why = drop_reason::unknown_target;
    return nullptr;
  }
  if (matches.size() == 1) {
    return matches.front();
  }
  // The tokens of two tags can be equal; the flow's own daemon knows which one was chosen.
  if (const flow_note* note = flows_.find(packet.flow)) {
    const auto found = std::find_if(
      matches.begin(), matches.end(), [note](const auto* target) { return target->record.vm.id == note->target; });
    if (found != matches.end()) {
      return *found;
    }
  }
  why = drop_reason::ambiguous_target;
  return nullptr;
}

steering_decision
steering_engine::on_later(const carried_packet& packet, instant now)
{
  drop_reason why = drop_reason::unknown_target;
  known_target* target = named_target(packet, why);
  if (target == nullptr) {
    return drop(why);
  }
  if (target->phase == target_phase::gone && is_quiet(*target, now)) {
    if (const flow_note* note = flows_.find(packet.flow)) {
      forget(*note);
      flows_.erase(packet.flow);
    }
    return reset(flow_end_reason::target_gone, packet, target->record.vm.id);
  }
  note_packet(packet, *target, now);
  return forward(forward_reason::named, *target);
}

/// Learns from a packet of an open flow whether its target is alive: a caller that acknowledges something new has heard
/// the target; one that repeats its packets has not.
void
steering_engine::note_packet(const carried_packet& packet, known_target& target, instant now)
{
  flow_note* note = flows_.find(packet.flow);
  const std::uint32_t end = packet.sequence + static_cast<std::uint32_t>(packet.payload_bytes);
  if (note != nullptr && note->target != target.record.vm.id) {
    forget(*note);
    flows_.erase(packet.flow);
    note = nullptr;
  }
  if (packet.resets || (note == nullptr && packet.closes)) {
    if (note != nullptr) {
      forget(*note);
      flows_.erase(packet.flow);
    }
    return;
  }
  if (note == nullptr) {
    note = flows_.add(packet.flow, target.record.vm.id, now);
    if (note == nullptr) {
      return;
    }
    ++target.open_flows;
    note->acknowledged = packet.acknowledged;
    note->sent_up_to = end;
    note->answered = true;
    return;
  }
  const bool progress = !note->answered || is_after(packet.acknowledged, note->acknowledged);
  const bool repeats = !progress && packet.payload_bytes > 0 && !is_after(end, note->sent_up_to);
  note->last_packet = now;
  if (progress) {
    note->acknowledged = packet.acknowledged;
    answered(*note, target, now);
  }
  if (is_after(end, note->sent_up_to)) {
    note->sent_up_to = end;
    if (packet.payload_bytes > 0 && !note->awaits_answer) {
      note->awaits_answer = true;
      await_answer(target, now);
    }
  }
  if (!progress && packet.payload_bytes > 0) {
    isolation_.on_request(now);
  }
  target.repeated_packets += repeats ? 1 : 0;
  if (repeats && target.repeated_packets >= steering_timing::repeats_before_suspicion &&
      now - std::max(target.last_progress, evidence_from_) > steering_timing::silence_before_suspicion) {
    suspect(target, "suspected evidence=unanswered_data", now);
  }
  if (packet.closes && !note->closing) {
    forget(*note);
    note->closing = true;
  }
}

/// The target is alive: it answered on this flow.
void
steering_engine::answered(flow_note& note, known_target& target, instant now)
{
  if (!note.answered && target.pending_opens > 0) {
    --target.pending_opens;
  }
  if ((!note.answered || note.awaits_answer) && target.awaiting_flows > 0) {
    --target.awaiting_flows;
  }
  note.answered = true;
  note.awaits_answer = false;
  note.last_progress = now;
  target.last_progress = now;
  target.repeated_packets = 0;
  target.awaiting_since = now;
  target.silent_checks = 0;
  target.dead = false;
  if (target.record.vm.domain == settings_.domain) {
    domain_reached_at_ = now;
  }
  isolation_.on_progress();
  target.pending_since = now;
  target.suspected_until = instant{};
}

void
steering_engine::await_answer(known_target& target, instant now)
{
  if (target.awaiting_flows++ == 0) {
    target.awaiting_since = now;
  }
}

/// The flow no longer counts for its target.
void
steering_engine::forget(const flow_note& note)
{
  known_target* target = targets_.find(note.target);
  if (target == nullptr || note.closing) {
    return;
  }
  if (target->open_flows > 0) {
    --target->open_flows;
  }
  if (!note.answered && target->pending_opens > 0) {
    --target->pending_opens;
  }
  if ((!note.answered || note.awaits_answer) && target->awaiting_flows > 0) {
    --target->awaiting_flows;
  }
}

void
steering_engine::forget_idle_flows(instant now)
{
  const catalogue* services = services_.current();
  const milliseconds idle =
    services != nullptr && services->flow_idle_ms > 0 ? milliseconds(services->flow_idle_ms) : settings_.flow_idle;
  flows_.erase_if([&](const flow_key&, const flow_note& note) {
    const milliseconds limit = note.closing     ? steering_timing::closing
                               : !note.answered ? steering_timing::open_attempt
                                                : idle;
    if (now - note.last_packet <= limit) {
      return false;
    }
    forget(note);
    known_target* target = targets_.find(note.target);
    if (!note.answered && target != nullptr && target->last_progress < note.opened) {
      suspect(*target, "suspected evidence=unanswered_open", now);
    }
    return true;
  });
}

}
