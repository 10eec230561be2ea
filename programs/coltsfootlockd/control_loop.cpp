#include "control_loop.h"

#include "coltsfootlock/transport/log.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace coltsfootlock {

namespace {

constexpr milliseconds tick_interval{ 25 }; // Half of the maximum that the engine allows.
constexpr milliseconds seed_interval{ 1000 };

/// Additional wait for runs at targets after the longest request timeout and the run grace. Then the daemon exits
/// without their answers.
constexpr milliseconds shutdown_slack{ 2000 };

instant
current_time()
{
  return std::chrono::steady_clock::now();
}

milliseconds
max_request_timeout(const std::shared_ptr<const routing_view>& view)
{
  std::uint32_t max_timeout_ms = 0;
  if (view) {
    for (const service& entry : view->services->services) {
      max_timeout_ms = std::max(max_timeout_ms, entry.request_timeout_ms);
    }
  }
  return milliseconds(max_timeout_ms);
}

}

control_loop::control_loop(const settings& values,
                           std::uint64_t boot_id,
                           control_inbox& inbox,
                           traffic_loop& traffic,
                           blocking_calls& calls)
  : settings_(values)
  , inbox_(inbox)
  , traffic_(traffic)
  , calls_(calls)
  , started_(current_time())
  , engine_({ values.self, values.domain, boot_id }, values.times, started_)
{
  loop_.add(inbox_.wake.descriptor(), [this] { process_events(); });
  publish_snapshot();
}

void
control_loop::run()
{
  while (!stopped_) {
    loop_.run_once(tick_interval);
    const instant now = current_time();
    if (now >= next_tick_) {
      tick(now);
    }
  }
}

void
control_loop::stop()
{
  stopped_ = true;
  inbox_.wake.signal();
}

void
control_loop::begin_leaving()
{
  leave_requested_ = true;
  inbox_.wake.signal();
}

void
control_loop::wait_for_shutdown()
{
  std::unique_lock lock(shutdown_mutex_);
  shutdown_changed_.wait(lock, [this] { return shutdown_complete_; });
}

std::shared_ptr<const control_snapshot>
control_loop::snapshot() const
{
  return snapshot_.get();
}

void
control_loop::process_events()
{
  inbox_.wake.clear();
  for (auto* queue : { &inbox_.results, &inbox_.reports }) {
    for (const control_event& event : queue->take_all()) {
      std::visit([this](const auto& kind) { on_event(kind, current_time()); }, event);
    }
  }
}

void
control_loop::on_event(const heartbeat_received& event, instant now)
{
  carry_out(engine_.on_heartbeat(event.message, now));
}

void
control_loop::on_event(const target_reported& event, instant now)
{
  carry_out(engine_.on_target_report(event.target, event.report, event.shed, now));
}

void
control_loop::on_event(const catalogue_read& event, instant now)
{
  if (event.from_platform) {
    platform_responded_at_ = now;
  }
  carry_out(engine_.on_catalogue(event.value, event.from_platform, now));
}

void
control_loop::on_event(const vm_list_read& event, instant now)
{
  if (event.from_platform) {
    platform_responded_at_ = now;
  }
  carry_out(engine_.on_vm_list(event.value, event.from_platform, now));
}

void
control_loop::on_event(const record_unchanged& event, instant now)
{
  platform_responded_at_ = now;
  carry_out(engine_.on_platform_unchanged(event.record, event.version, now));
}

void
control_loop::on_event(const read_failed& event, instant now)
{
  carry_out(engine_.on_read_failed(event.record, event.reason, now));
}

void
control_loop::on_event(const fetch_failed& event, instant now)
{
  carry_out(engine_.on_fetch_failed(event.record, event.peer, event.reason, now));
}

void
control_loop::on_event(const flows_pulled& event, instant now)
{
  carry_out(engine_.on_flows_pulled(event.peer, event.complete, now));
}

void
control_loop::tick(instant now)
{
  next_tick_ = now + tick_interval;
  const auto traffic = traffic_.snapshot();
  if (traffic != traffic_snapshot_) {
    traffic_snapshot_ = traffic;
    engine_.on_capacity(traffic->capacity);
  }
  carry_out(engine_.tick(now));
  query_seeds(now);
  advance_shutdown(now);
  publish_snapshot();
}

void
control_loop::query_seeds(instant now)
{
  if (settings_.seeds.empty() || engine_.view() || now < next_seed_query_) {
    return;
  }
  next_seed_query_ = now + seed_interval;
  calls_.query_seeds();
}

void
control_loop::advance_shutdown(instant now)
{
  if (!leave_requested_) {
    return;
  }
  if (!leaving_since_) {
    leaving_since_ = now;
    write_log(log_level::info, "daemon", "leaving; queued requests are forwarded to peers");
    carry_out(engine_.begin_leaving(now));
    traffic_.begin_leaving();
  }
  if (!shares_released_ && traffic_snapshot_->finished) {
    shares_released_ = true;
    write_log(log_level::info, "daemon", "no request is queued or in flight; releasing the shares");
    carry_out(engine_.on_traffic_finished(now));
  }
  if (!drained(now)) {
    return;
  }
  {
    const std::lock_guard lock(shutdown_mutex_);
    shutdown_complete_ = true;
  }
  shutdown_changed_.notify_all();
}

bool
control_loop::drained(instant now) const
{
  const instant drain_end = *leaving_since_ + settings_.times.drain;
  if (shares_released_) {
    return now >= drain_end;
  }
  return now >= drain_end + max_request_timeout(engine_.view()) + settings_.times.run_grace + shutdown_slack;
}

void
control_loop::publish_snapshot()
{
  auto snapshot = std::make_shared<control_snapshot>();
  snapshot->view = engine_.view();
  snapshot->serving = engine_.serving();
  snapshot->leaving = leaving_since_.has_value();
  snapshot->started = started_;
  snapshot->catalogue_adopted_at = catalogue_adopted_at_;
  snapshot->platform_responded_at = platform_responded_at_;
  snapshot->last_reason = engine_.last_reason();
  snapshot_.publish(std::move(snapshot));
}

void
control_loop::carry_out(const std::vector<control_action>& actions)
{
  for (const control_action& action : actions) {
    std::visit([this](const auto& kind) { perform(kind); }, action);
  }
}

void
control_loop::perform(const send_heartbeat& action)
{
  traffic_.post(action);
}

void
control_loop::perform(const read_platform& action)
{
  calls_.start(action);
}

void
control_loop::perform(const fetch_from_peer& action)
{
  calls_.start(action);
}

void
control_loop::perform(const pull_flows& action)
{
  calls_.start(action);
}

void
control_loop::perform(const poll_target_load& action)
{
  calls_.start(action);
}

void
control_loop::perform(const publish_view& action)
{
  if (!catalogue_adopted_at_ || action.view->services->version != catalogue_version_) {
    catalogue_version_ = action.view->services->version;
    catalogue_adopted_at_ = current_time();
  }
  traffic_.publish_view(action.view);
}

void
control_loop::perform(const log_decision& action)
{
  write_log(log_level::info, action.part, action.text);
}

}
