#include "coltsfootlock/coordination/steering/steering_engine.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace coltsfootlock {

steering_decision
steering_engine::on_opening(const carried_packet& packet, instant now)
{
  if (backlog_) {
    return drop(drop_reason::late_open);
  }
  carried_flow* flow = flows_.find(packet.flow);
  if (flow == nullptr) {
    return place(packet, {}, now);
  }
  if (!flow->answered) {
    return on_repeated_opening(packet, *flow, now);
  }
  if (target_state* target = targets_.find(flow->target); target != nullptr && packet.acknowledged > 0) {
    if (accepts_opening(packet.flow, *target, now)) {
      return forward(forward_reason::repeated, *target); // A late copy: the flow is open at this target.
    }
    if (!flow->closing && now - flow->opened < steering_timing::open_timeout) {
      return drop(drop_reason::outdated_copy);
    }
  }
  release_flow(*flow);
  flows_.erase(packet.flow);
  return place(packet, {}, now);
}

/// Load pattern: a target stops answering, and each caller that opens a flow to it loses an attempt. The caller's copy
/// of the first packet shows that the original was not answered. It is forwarded to another target unless this daemon
/// handled the original late.
steering_decision
steering_engine::on_repeated_opening(const carried_packet& packet, carried_flow& flow, instant now)
{
  target_state* target = targets_.find(flow.target);
  const bool usable = target != nullptr && accepts_opening(packet.flow, *target, now);
  const bool early = now - flow.last_packet < steering_timing::min_retransmission_gap;
  const bool alive = target != nullptr && target->last_progress > flow.last_packet;
  if (usable && (early || alive)) {
    flow.last_packet = now;
    return forward(forward_reason::repeated, *target);
  }
  if (target != nullptr && !early) {
    suspect(*target, "suspected evidence=unanswered_open", now);
  }
  const vm_id avoided = flow.target;
  release_flow(flow);
  flows_.erase(packet.flow);
  steering_decision decision = place(packet, avoided, now);
  if (auto* forwarded = std::get_if<forward_packet>(&decision)) {
    forwarded->reason = forward_reason::moved;
  }
  return decision;
}

/// True if the catalogue and the records in force allow that a first packet of this flow is sent to the target.
///
/// Load pattern: the operator moves a service to another group, or takes it out of the catalogue, while callers repeat
/// first packets that its full targets do not answer.
bool
steering_engine::accepts_opening(const flow_key& flow, target_state& target, instant now)
{
  const service* wanted = services_.find(flow.service);
  return wanted != nullptr && target.phase == target_phase::present &&
         target.record.vm.target_group == services_.group_for(*wanted, flow) && condition_of(target, now).has_value();
}

/// Empty if the target gets no new flows.
std::optional<placement_condition>
steering_engine::condition_of(target_state& target, instant now)
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

/// Load pattern: a domain returns with cold targets, which have no flows and so attract all new ones from every daemon.
/// If the catalogue limits the rate for cold targets, only the daemons of the target's domain open flows to it, each at
/// an even share of the rate.
bool
steering_engine::may_warm_up(target_state& target, instant now) const
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

steering_decision
steering_engine::place(const carried_packet& packet, const vm_id& avoided, instant now)
{
  const service* wanted = services_.find(packet.flow.service);
  if (wanted == nullptr) {
    return records_are_fresh(now) ? reset(flow_end_reason::no_service, packet, {}) : drop(drop_reason::stale_records);
  }
  const std::string& group = services_.group_for(*wanted, packet.flow);
  const auto& targets = targets_.of_group(group);
  candidates_.clear();
  for (std::size_t index = 0; index < targets.size(); ++index) {
    target_state& target = *targets[index];
    const auto condition = condition_of(target, now);
    if (!condition) {
      continue;
    }
    const bool was_silent = target.record.vm.id == avoided;
    candidates_.push_back(
      { index,
        std::hash<std::string>{}(target.record.vm.domain),
        target.record.vm.domain == settings_.domain,
        was_silent ? placement_condition::doubtful : *condition,
        target.pending_opens > 0 && now - target.pending_since > steering_timing::expected_answer_time,
        target.open_flows,
        target.record.slots,
        self_hash_ ^ (target.record.tag * 0x9e3779b97f4a7c15ULL) });
    add_load(target, now, candidates_.back());
  }
  const auto chosen = place_flow(candidates_, hash_of(packet.flow));
  if (!chosen) {
    return reset(flow_end_reason::no_target, packet, {});
  }
  target_state& target = *targets[*chosen];
  isolation_.on_request(now);
  if (now < target.warm_at) {
    target.cold_allowance -= 1;
  }
  steering_decision decision = forward(forward_reason::placed, target);
  auto& forwarded = std::get<forward_packet>(decision);
  forwarded.candidates = candidates_.size();
  if (has_load_views(candidates_)) {
    const placement_candidate& candidate =
      *std::find_if(candidates_.begin(), candidates_.end(), [&](const auto& one) { return one.index == *chosen; });
    ++counters_.placed_by_load[static_cast<std::size_t>(room_of(candidate))];
    if (candidate.outstanding) {
      forwarded.outstanding_per_slot = outstanding_per_slot(candidate);
    }
  }
  if (carried_flow* flow = flows_.add(packet.flow, target.record.vm.id, now)) {
    ++target.open_flows;
    if (target.pending_opens++ == 0) {
      target.pending_since = now;
    }
    start_awaiting(target, now);
    flow->sent_up_to = packet.sequence;
  }
  return decision;
}

}
