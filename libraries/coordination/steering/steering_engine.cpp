#include "coltsfootlock/coordination/steering/steering_engine.h"

#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

std::string
cold_rates_text(const catalogue& value)
{
  std::string text;
  for (const cold_start_rate& rate : value.cold_starts) {
    text += (text.empty() ? "" : ",") + rate.target_group + ":" + std::to_string(rate.opens_per_second);
  }
  return text.empty() ? "none" : text;
}

/// Spreads the windows of the daemons over time.
milliseconds
load_phase(const std::string& self)
{
  return milliseconds(static_cast<milliseconds::rep>(hash_text(self) % load_window.count()));
}

std::int64_t
milliseconds_of(duration time)
{
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}

steering_engine::steering_engine(const steering_settings& settings)
  : settings_(settings)
  , flows_(settings.max_flows)
  , load_meter_(load_phase(settings.self))
  , self_hash_(hash_text(settings.self))
  , report_interval_(
      steering_timing::min_report_delay +
      milliseconds(self_hash_ % (steering_timing::max_report_delay - steering_timing::min_report_delay).count()))
{
}

void
steering_engine::report(const char* part, std::string message)
{
  events_.push_back({ part, std::move(message) });
}

void
steering_engine::report_target(const target_state& target, const std::string& event, instant now)
{
  const target_vm& vm = target.record.vm;
  report(
    "target",
    event + " id=" + vm.id + " group=" + vm.target_group + " domain=" + vm.domain +
      " address=" + to_string(vm.packet_address) + " incarnation=" + std::to_string(vm.incarnation) +
      " leaving=" + (vm.leaving ? "1" : "0") +
      " warm_up_ms=" + std::to_string(std::max<std::int64_t>(milliseconds_of(target.warm_at - now), 0)) +
      " position=" + to_string(target.position) + " flows=" + std::to_string(target.open_flows) +
      " progress_age_ms=" + std::to_string(milliseconds_of(now - std::max(target.last_progress, observing_since_))));
}

void
steering_engine::report_removal(const target_state& target, instant now)
{
  if (target.phase == target_phase::lapsed) {
    report_target(target, "lapsed grace_left_ms=" + std::to_string(milliseconds_of(target.lapse_ends - now)), now);
  } else {
    report_target(target, "gone", now);
  }
}

std::vector<steering_event>
steering_engine::take_events()
{
  return std::exchange(events_, {});
}

void
steering_engine::on_record(const record_change& change, instant outage_grace_end, instant now)
{
  struct visitor
  {
    steering_engine& engine;
    store_position position;
    instant outage_grace_end;
    instant now;

    void operator()(const target_published& content) const
    {
      const target_state* known = engine.targets_.find(content.target.vm.id);
      const bool took_flows = known != nullptr && takes_flows(*known) && known->warm_at <= now;
      const auto effect = engine.targets_.publish(content.target, position, now);
      if (effect == target_directory::effect::none) {
        return;
      }
      if (effect == target_directory::effect::unreadable) {
        engine.report("target", "unreadable id=" + content.target.vm.id + " reason=\"the start time is missing\"");
        return;
      }
      target_state& target = *engine.targets_.find(content.target.vm.id);
      const bool starts = !took_flows || effect == target_directory::effect::restarted || target.warm_at > now;
      if (engine.complete_ && takes_flows(target) && starts) {
        ramp_up(target, target.warm_at);
      }
      if (effect == target_directory::effect::restarted) {
        engine.on_restart(content.target.vm.id, now);
      }
      if (!engine.complete_) {
        return; // The first list has hundreds of targets, and callers wait for it; it is logged as a whole.
      }
      engine.report_target(target, effect == target_directory::effect::restarted ? "restarted" : "published", now);
    }
    void operator()(const target_removed& content) const
    {
      if (engine.targets_.remove(content.id, position, outage_grace_end, now)) {
        engine.report_removal(*engine.targets_.find(content.id), now);
      }
    }
    void operator()(const target_unreadable& content) const
    {
      engine.targets_.mark_unreadable(content.id, position, now);
      engine.report("target", "unreadable id=" + content.id + " reason=\"" + content.why.message + "\"");
    }
    void operator()(const catalogue_published& content) const
    {
      if (engine.services_.publish(content.value)) {
        engine.report("catalogue",
                      "in force version=" + std::to_string(content.value->version) +
                        " services=" + std::to_string(content.value->services.size()) + " cold_opens_per_second=" +
                        cold_rates_text(*content.value) + " position=" + to_string(position));
        engine.report_ignored_values(*content.value);
      }
    }
    void operator()(const catalogue_unreadable& content) const
    {
      engine.report("catalogue", "refused position=" + to_string(position) + " reason=\"" + content.why.message + "\"");
    }
    void operator()(const domain_switched& content) const
    {
      if (engine.services_.switch_domain(content.domain, content.in_service, position)) {
        engine.report("domain",
                      std::string(content.in_service ? "in service" : "out of service") + " domain=" + content.domain +
                        " position=" + to_string(position));
        if (content.in_service) {
          engine.ramp_up_domain(content.domain, now);
        }
      }
    }
  };
  std::visit(visitor{ *this, change.position, outage_grace_end, now }, change.content);
}

/// Values that are not usable do not make a catalogue unreadable; the operator learns of them here.
void
steering_engine::report_ignored_values(const catalogue& value)
{
  for (const ignored_value& one : value.ignored_values) {
    const auto kind = std::find(ignored_value_kinds.begin(), ignored_value_kinds.end(), one.kind);
    if (kind != ignored_value_kinds.end()) {
      counters_.ignored_values.at(static_cast<std::size_t>(kind - ignored_value_kinds.begin())) += one.count;
    }
    report("catalogue",
           "ignored field=" + one.field + " reason=" + to_string(one.kind) + " count=" + std::to_string(one.count) +
             " first_service=" + one.first_service + " version=" + std::to_string(value.version) + " remedy=\"" +
             one.remedy + "\"");
  }
}

/// The previous incarnation was still on record when the records were last known to be complete, and a target publishes
/// its record within a heartbeat of its start. This does not hold for a record from an older copy of the store, which a
/// daemon that did not know the target before has taken for the present one.
void
steering_engine::on_restart(const vm_id& id, instant now)
{
  if (confirmed_at_ && now >= rewritten_by_) {
    restarted_targets_.push_back({ id, *confirmed_at_ - settings_.target_heartbeat });
  }
}

void
steering_engine::on_snapshot_begin()
{
  targets_.begin_snapshot();
  services_.begin_snapshot();
}

void
steering_engine::on_snapshot_complete(const store_position& position, instant outage_grace_end, instant now)
{
  const std::size_t missing = targets_.end_snapshot(position, outage_grace_end, now);
  services_.end_snapshot(position, outage_grace_end);
  complete_ = true;
  if (position.era > list_era_) {
    list_era_ = position.era;
    rewritten_by_ = now + steering_timing::lapse_grace;
  }
  report("records",
         "list complete position=" + to_string(position) + " targets=" + std::to_string(targets_.size()) +
           " missing=" + std::to_string(missing));
}

void
steering_engine::on_confirmed(instant at, instant outage_grace_end)
{
  confirmed_at_ = at;
  outage_grace_end_ = std::max(outage_grace_end_, outage_grace_end);
}

steering_decision
steering_engine::forward(forward_reason reason, const target_state& target)
{
  ++counters_.forwarded[static_cast<std::size_t>(reason)];
  forward_packet result{ reason, target.record.vm.packet_address, target.record.tag, target.token, {}, 0, 0, {} };
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
  return reset_flow{ reason, packet.flow, packet.opens ? 0 : packet.acknowledged, target, std::nullopt };
}

steering_decision
steering_engine::drop(drop_reason reason)
{
  ++counters_.dropped[static_cast<std::size_t>(reason)];
  return drop_packet{ reason };
}

steering_decision
steering_engine::on_packet(const carried_packet& packet, instant now)
{
  if (!has_records() || (packet.opens && !accepts_flows())) {
    return drop(drop_reason::not_ready);
  }
  return packet.opens ? on_opening(packet, now) : on_established(packet, now);
}

/// Load pattern: a daemon is paused with packets queued in its socket. Meanwhile a copy of a queued first packet opened
/// the flow at another target through another daemon.
void
steering_engine::on_pause(instant now)
{
  observing_since_ = now;
  backlog_ = true;
  isolation_.on_pause();
  // Answers may have been missed during the pause.
  targets_.for_each([](target_state& target) { target.evidence.clear(); });
  load_meter_.on_pause(now);
  forget_target_loads();
}

std::vector<reset_flow>
steering_engine::tick(instant now)
{
  isolation_.tick(records_are_fresh(now), now);
  std::vector<reset_flow> resets;
  for (const target_state* target : targets_.tick(gone_target_retention(), confirmed_at_, outage_grace_end_, now)) {
    report_target(*target, "gone lapsed_ms=" + std::to_string(milliseconds_of(now - target->removed_at)), now);
  }
  for (const std::string& domain : services_.tick(confirmed_at_, outage_grace_end_)) {
    report("domain", "in service domain=" + domain + " reason=\"the store lost its withdrawal\"");
  }
  judge_targets(now);
  bool lost = !restarted_targets_.empty() || !dead_targets_.empty();
  targets_.for_each([&](target_state& target) {
    report_if_alive(target, now);
    lost = lost || (target.open_flows > 0 && is_gone(target, now));
  });
  if (lost) {
    reset_flows_of_lost_targets(now, resets);
  }
  if (now >= next_expiry_) {
    next_expiry_ = now + steering_timing::expiry_interval;
    expire_idle_flows(now);
  }
  return resets;
}

bool
steering_engine::records_are_fresh(instant now) const
{
  return confirmed_at_ && now - *confirmed_at_ < settings_.max_record_age_for_refusal;
}

}
