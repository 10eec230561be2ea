#include "coltsfootlock/coordination/steering/steering_engine.h"

#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace coltsfootlock {

namespace {

/// Targets and flows stay known for this many flow lifetimes after their end, so that late packets find them.
constexpr int retained_lifetimes = 1;

/// Compares positions of a stream, which wrap around.
bool
is_after(std::uint32_t left, std::uint32_t right)
{
  return static_cast<std::int32_t>(left - right) > 0;
}

std::string
cold_rates_text(const catalogue& value)
{
  std::string text;
  for (const cold_start_rate& rate : value.cold_starts) {
    text += (text.empty() ? "" : ",") + rate.target_group + ":" + std::to_string(rate.opens_per_second);
  }
  return text.empty() ? "none" : text;
}

std::int64_t
milliseconds_of(duration time)
{
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}

steering_engine::steering_engine(const steering_settings& settings)
  : settings_(settings)
  , flows_(settings.most_flows)
  , self_hash_(hash_text(settings.self))
{
}

void
steering_engine::report(const char* part, std::string message)
{
  beliefs_.push_back({ part, std::move(message) });
}

void
steering_engine::report_target(const known_target& target, const char* event, instant now)
{
  const target_vm& vm = target.record.vm;
  report("target",
         std::string(event) + " id=" + vm.id + " group=" + vm.target_group + " domain=" + vm.domain +
           " address=" + to_string(vm.packet_address) + " incarnation=" + std::to_string(vm.incarnation) +
           " leaving=" + (vm.leaving ? "1" : "0") +
           " warm_up_ms=" + std::to_string(std::max<std::int64_t>(milliseconds_of(target.warm_at - now), 0)) +
           " revision=" + std::to_string(target.revision) + " flows=" + std::to_string(target.open_flows) +
           " progress_age_ms=" + std::to_string(milliseconds_of(now - std::max(target.last_progress, evidence_from_))));
}

std::vector<belief_change>
steering_engine::take_belief_changes()
{
  return std::exchange(beliefs_, {});
}

void
steering_engine::on_record(const record_change& change, instant settles_at, instant now)
{
  struct visitor
  {
    steering_engine& engine;
    std::uint64_t revision;
    instant settles_at;
    instant now;

    void operator()(const target_published& content) const
    {
      const auto effect = engine.targets_.publish(content.target, revision, now);
      if (effect == target_directory::effect::none) {
        return;
      }
      if (effect == target_directory::effect::restarted) {
        engine.restarted_.push_back(content.target.vm.id);
      }
      engine.report_target(*engine.targets_.find(content.target.vm.id),
                           effect == target_directory::effect::restarted ? "restarted" : "published",
                           now);
    }
    void operator()(const target_removed& content) const
    {
      if (engine.targets_.remove(content.id, revision, settles_at, now)) {
        const known_target& target = *engine.targets_.find(content.id);
        engine.report_target(target, target.phase == target_phase::lapsed ? "lapsed" : "gone", now);
      }
    }
    void operator()(const target_unreadable& content) const
    {
      engine.targets_.mark_unreadable(content.id, revision, now);
      engine.report("target", "unreadable id=" + content.id + " reason=\"" + content.why.message + "\"");
    }
    void operator()(const catalogue_published& content) const
    {
      if (engine.services_.publish(content.value)) {
        engine.report("catalogue",
                      "in force version=" + std::to_string(content.value->version) +
                        " services=" + std::to_string(content.value->services.size()) + " cold_opens_per_second=" +
                        cold_rates_text(*content.value) + " revision=" + std::to_string(revision));
      }
    }
    void operator()(const catalogue_unreadable& content) const
    {
      engine.report("catalogue",
                    "refused revision=" + std::to_string(revision) + " reason=\"" + content.why.message + "\"");
    }
    void operator()(const domain_switched& content) const
    {
      if (engine.services_.switch_domain(content.domain, content.in_service, revision)) {
        engine.report("domain",
                      std::string(content.in_service ? "in service" : "out of service") + " domain=" + content.domain +
                        " revision=" + std::to_string(revision));
      }
    }
  };
  std::visit(visitor{ *this, change.revision, settles_at, now }, change.content);
}

void
steering_engine::on_snapshot_begin()
{
  targets_.begin_snapshot();
  services_.begin_snapshot();
}

void
steering_engine::on_snapshot_complete(std::uint64_t revision, instant settles_at, instant now)
{
  const std::size_t missing = targets_.end_snapshot(revision, settles_at, now);
  services_.end_snapshot(revision);
  complete_ = true;
  report("records",
         "list complete revision=" + std::to_string(revision) + " targets=" + std::to_string(targets_.size()) +
           " missing=" + std::to_string(missing));
}

steering_decision
steering_engine::forward(forward_reason reason, const known_target& target)
{
  ++counters_.forwarded[static_cast<std::size_t>(reason)];
  forward_packet result{ reason, target.record.vm.packet_address, target.record.tag, target.token, {}, 0, 0 };
  if (reason != forward_reason::named) {
    result.target = target.record.vm.id;
    result.open_flows = target.open_flows;
  }
  return result;
}

steering_decision
steering_engine::reset(flow_end_reason reason, const carried_packet& packet, const vm_id& target)
{
  ++counters_.resets[static_cast<std::size_t>(reason)];
  return reset_flow{ reason, packet.flow, packet.opens ? 0 : packet.acknowledged, target };
}

steering_decision
steering_engine::drop(drop_reason reason)
{
  ++counters_.dropped[static_cast<std::size_t>(reason)];
  return drop_packet{ reason };
}

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

steering_decision
steering_engine::on_packet(const carried_packet& packet, instant now)
{
  if (!knows_records()) {
    return drop(drop_reason::not_ready);
  }
  return packet.opens ? on_opening(packet, now) : on_later(packet, now);
}

/// Load pattern: a daemon stands still with packets in its socket. Copies of a first packet in it have opened the flow
/// through another daemon since, at another target.
void
steering_engine::on_pause(instant now)
{
  evidence_from_ = now;
  backlog_ = true;
  isolation_.on_pause();
}

steering_decision
steering_engine::on_opening(const carried_packet& packet, instant now)
{
  if (backlog_) {
    return drop(drop_reason::late_open);
  }
  if (flow_note* note = flows_.find(packet.flow); note != nullptr && !note->answered) {
    return on_copy(packet, *note, now);
  }
  return place(packet, {}, now);
}

/// Load pattern: a target falls silent, and each caller that opens a flow to it loses an attempt. The caller's copy
/// shows that the first packet was not answered: it goes to another target, unless this daemon itself was late.
steering_decision
steering_engine::on_copy(const carried_packet& packet, flow_note& note, instant now)
{
  known_target* target = targets_.find(note.target);
  const bool usable = target != nullptr && target->phase == target_phase::present && condition_of(*target, now);
  const bool early = now - note.last_packet < steering_timing::shortest_copy_gap;
  const bool alive = target != nullptr && target->last_progress > note.last_packet;
  if (usable && (early || alive)) {
    note.last_packet = now;
    return forward(forward_reason::repeated, *target);
  }
  if (target != nullptr && !early) {
    suspect(*target, "suspected evidence=unanswered_open", now);
  }
  const vm_id avoided = note.target;
  forget(note);
  flows_.erase(packet.flow);
  steering_decision decision = place(packet, avoided, now);
  if (auto* forwarded = std::get_if<forward_packet>(&decision)) {
    forwarded->reason = forward_reason::moved;
  }
  return decision;
}

/// Empty if the target gets no new flows.
std::optional<placement_condition>
steering_engine::condition_of(known_target& target, instant now)
{
  if (!target.readable || target.record.vm.leaving || !services_.in_service(target.record.vm.domain)) {
    return std::nullopt;
  }
  const bool cold = now < target.warm_at;
  if (target.phase == target_phase::gone || (cold && !may_warm_up(target, now))) {
    return std::nullopt;
  }
  if (target.phase == target_phase::lapsed || target.suspected_until > now) {
    return placement_condition::doubtful;
  }
  return cold ? placement_condition::cold : placement_condition::serving;
}

/// Load pattern: a domain comes back with cold targets, and all its daemons find them empty. Where the catalogue states
/// what a cold target bears, only the daemons of its domain open flows to it, each at an even share of that rate.
bool
steering_engine::may_warm_up(known_target& target, instant now) const
{
  const auto rate = services_.cold_rate(target.record.vm.target_group);
  if (!rate) {
    return true;
  }
  if (target.record.vm.domain != settings_.domain) {
    return false;
  }
  const double share = *rate / static_cast<double>(std::max<std::size_t>(daemons_in_domain_, 1));
  const std::chrono::duration<double> passed = now - target.cold_allowance_at;
  target.cold_allowance = std::min(target.cold_allowance + passed.count() * share, std::max(share, 1.0));
  target.cold_allowance_at = now;
  return target.cold_allowance >= 1;
}

bool
steering_engine::records_are_fresh(instant now) const
{
  return confirmed_at_ && now - *confirmed_at_ < settings_.refusal_freshness;
}

steering_decision
steering_engine::place(const carried_packet& packet, const vm_id& avoided, instant now)
{
  const service* wanted = services_.find(packet.flow.service);
  if (wanted == nullptr) {
    return records_are_fresh(now) ? reset(flow_end_reason::no_service, packet, {}) : drop(drop_reason::stale_records);
  }
  const auto& targets = targets_.of_group(services_.group_for(*wanted, packet.flow));
  waited_for_.clear();
  flows_.for_each_of_caller(packet.flow.caller.address, packet.flow.service, [this](const flow_note& note) {
    if (!note.closing && (!note.answered || note.awaits_answer)) {
      waited_for_.push_back(note.target);
    }
  });
  candidates_.clear();
  for (std::size_t index = 0; index < targets.size(); ++index) {
    known_target& target = *targets[index];
    const auto condition = condition_of(target, now);
    if (!condition) {
      continue;
    }
    const bool was_silent = target.record.vm.id == avoided;
    candidates_.push_back({ index,
                            std::hash<std::string>{}(target.record.vm.domain),
                            target.record.vm.domain == settings_.domain,
                            was_silent ? placement_condition::doubtful : *condition,
                            target.pending_opens > 0 && now - target.pending_since > steering_timing::usual_answer_time,
                            std::find(waited_for_.begin(), waited_for_.end(), target.record.vm.id) != waited_for_.end(),
                            target.open_flows,
                            target.record.slots,
                            self_hash_ ^ (target.record.tag * 0x9e3779b97f4a7c15ULL) });
  }
  const auto chosen = place_flow(candidates_);
  if (!chosen) {
    return reset(flow_end_reason::no_target, packet, {});
  }
  known_target& target = *targets[*chosen];
  isolation_.on_request(now);
  if (now < target.warm_at) {
    target.cold_allowance -= 1;
  }
  steering_decision decision = forward(forward_reason::placed, target);
  std::get<forward_packet>(decision).candidates = candidates_.size();
  if (flow_note* note = flows_.add(packet.flow, target.record.vm.id, now)) {
    ++target.open_flows;
    if (target.pending_opens++ == 0) {
      target.pending_since = now;
    }
    await_answer(target, now);
    note->sent_up_to = packet.sequence;
  }
  return decision;
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
    last_domain_progress_ = now;
  }
  isolation_.on_progress();
  target.pending_since = now;
  target.suspected_until = instant{};
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
steering_engine::await_answer(known_target& target, instant now)
{
  if (target.awaiting_flows++ == 0) {
    target.awaiting_since = now;
  }
}

/// Load pattern: a target falls silent. Callers whose packets it has taken wait without sending anything, and its
/// record stays for three heartbeats, longer than many callers have. Whether its process is there is asked only where a
/// target owes an answer for longer than usual, and only in the own domain, where silence cannot come from a cut
/// between domains.
std::vector<reachability_check>
steering_engine::take_checks(instant now)
{
  std::vector<reachability_check> checks;
  targets_.for_each([&](known_target& target) {
    const bool due = target.awaiting_flows > 0 &&
                     now - std::max(target.awaiting_since, evidence_from_) > steering_timing::answer_before_check;
    if (!due || target.check_running || target.dead || now < target.next_check ||
        target.phase != target_phase::present || target.record.vm.domain != settings_.domain) {
      return;
    }
    target.check_running = true;
    ++counters_.checks;
    checks.push_back({ target.record.vm.id, target.record.vm.load_address });
  });
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
  if (outcome == check_outcome::accepted) {
    target->silent_checks = 0;
    target->next_check = now + steering_timing::check_interval;
    return;
  }
  if (outcome == check_outcome::silent) {
    ++target->silent_checks;
    suspect(*target, "suspected evidence=silent_check", now);
  }
  const bool waits = target->awaiting_flows > 0;
  const bool others_answer = now - last_domain_progress_ < steering_timing::recent_progress &&
                             last_domain_progress_ > std::max(target->awaiting_since, evidence_from_);
  const bool gone_silent = target->silent_checks >= steering_timing::silent_checks_of_dead_target && others_answer;
  if (waits && (outcome == check_outcome::refused || gone_silent)) {
    target->dead = true;
    target->suspected_until = now + 2 * steering_timing::suspicion;
    found_dead_ = true;
    report_target(*target, (std::string("dead evidence=") + to_string(outcome) + "_check").c_str(), now);
  }
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

std::vector<reset_flow>
steering_engine::tick(instant now)
{
  isolation_.tick(records_are_fresh(now), now);
  std::vector<reset_flow> resets;
  targets_.tick(retained_lifetimes * settings_.flow_lifetime, now);
  bool lost = !restarted_.empty() || std::exchange(found_dead_, false);
  targets_.for_each([&](const known_target& target) {
    lost = lost || (target.phase == target_phase::gone && target.open_flows > 0 && is_quiet(target, now));
  });
  if (lost) {
    reset_flows_of_lost_targets(now, resets);
  }
  if (now >= next_expiry_) {
    next_expiry_ = now + steering_timing::expiry_interval;
    forget_idle_flows(now);
  }
  return resets;
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
