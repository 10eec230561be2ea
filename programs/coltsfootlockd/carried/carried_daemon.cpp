#include "carried/carried_daemon.h"

#include "carried/carried_metrics.h"
#include "carried/peer_pages.h"
#include "carried/process_signals.h"

#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/coordination/steering/steering_timing.h"
#include "coltsfootlock/transport/boot_clock.h"
#include "coltsfootlock/transport/log.h"

#include <algorithm>
#include <span>
#include <string>
#include <utility>
#include <variant>

namespace coltsfootlock {

namespace {

/// Interval for flushing buffered log lines.
constexpr milliseconds log_interval{ 250 };

/// A longer time between two rounds of the event loop is logged: answers may have been handled late.
constexpr milliseconds slow_round = 2 * steering_timing::tick_interval;

/// Records sent to other daemons within `log_interval` are logged from this size on.
constexpr std::uint64_t min_logged_bytes = 16 * 1024;

/// Interval for checking the settings file for changes without a signal.
constexpr milliseconds settings_interval{ 2000 };

/// Maximum time after the start for which packets stay queued until the records are confirmed: the retransmission
/// timeout of a caller (200 ms) plus the usual maximum time until the store's first response.
constexpr milliseconds max_packet_wait{ 500 };

bool
any_ready(std::span<const pollfd> waited)
{
  return std::any_of(waited.begin(), waited.end(), [](const pollfd& one) { return one.revents != 0; });
}

}

carried_daemon::carried_daemon(value_map given,
                               const carried_settings& settings,
                               udp_socket socket,
                               page_server ready_server)
  : started_with_(settings)
  , settings_(std::move(given), settings)
  , engine_(settings.steering)
  , packets_(std::move(socket), engine_)
  , sources_(settings.steering.self, settings.steering.domain, settings.link_kbps())
  , observations_(engine_)
  , loads_(settings.steering.self, settings.steering.domain, engine_, sources_)
  , records_(settings.steering.domain,
             settings.platform,
             settings.follower,
             static_cast<std::uint32_t>(hash_text(settings.steering.self)),
             sources_,
             observations_,
             loads_,
             engine_)
  , ready_server_(std::move(ready_server))
{
  ready_server_.add_page("/ready", [this](const page_request&, instant) { return ready_page(); });
}

void
carried_daemon::serve_metrics(page_server server)
{
  metrics_server_ = std::move(server);
  metrics_server_->add_page("/metrics", [this](const page_request&, instant) {
    const std::uint64_t sent = peer_server_ ? peer_server_->sent_bytes() : 0;
    return page{ 200,
                 carried_metrics(
                   engine_, packets_, records_, loads_, settings_, sent, guard_.errors(), is_ready(), now_),
                 "text/plain; version=0.0.4" };
  });
}

void
carried_daemon::serve_peers(const endpoint& call_address, page_server server)
{
  peer_server_ = std::move(server);
  peer_pages::add_pages(*peer_server_, records_, observations_.board(), loads_.board(), sources_);
  observations_.add_page(*peer_server_);
  loads_.add_page(*peer_server_);
  member_discovery_.emplace(
    fleet_member{ started_with_.steering.self, started_with_.steering.domain, call_address, started_with_.link_kbps() },
    started_with_.seeds,
    sources_);
}

page
carried_daemon::ready_page()
{
  shutdown_.on_refused_probe();
  return is_ready() ? page{ 200, "{}" } : page{ 503, "{}" };
}

const char*
carried_daemon::unready_reason() const
{
  if (shutdown_.in_progress()) {
    return "leaving";
  }
  return engine_.isolated() ? "isolated" : "no_records";
}

int
carried_daemon::wait_time(instant now) const
{
  const instant exit_deadline = shutdown_.deadline(settings_.current().shutdown_grace).value_or(next_tick_);
  const instant next = std::min({ next_tick_, records_.next_wakeup(), exit_deadline });
  const auto left = std::chrono::ceil<milliseconds>(next - now).count();
  return static_cast<int>(std::clamp<milliseconds::rep>(left, 0, steering_timing::tick_interval.count()));
}

carried_daemon::poll_groups
carried_daemon::collect_descriptors()
{
  poll_groups groups;
  descriptors_.clear();
  // Packets stay queued in the socket until the records are confirmed, usually a few round trips after the start.
  groups.takes_packets = engine_.accepts_flows() || now_ - started_ > max_packet_wait;
  if (groups.takes_packets || !records_.callers_wait()) {
    descriptors_.push_back({ packets_.descriptor(), POLLIN, 0 });
  }
  groups.records = descriptors_.size();
  records_.add_descriptor(descriptors_);
  groups.member_discovery = descriptors_.size();
  if (member_discovery_) {
    member_discovery_->add_descriptor(descriptors_);
  }
  groups.observations = descriptors_.size();
  observations_.add_descriptor(descriptors_);
  groups.loads = descriptors_.size();
  loads_.add_descriptors(descriptors_);
  groups.checks = descriptors_.size();
  checks_.add_descriptors(descriptors_);
  groups.ready = descriptors_.size();
  ready_server_.add_descriptors(descriptors_);
  groups.metrics = descriptors_.size();
  if (metrics_server_) {
    metrics_server_->add_descriptors(descriptors_);
  }
  groups.peers = descriptors_.size();
  if (peer_server_) {
    peer_server_->add_descriptors(descriptors_);
  }
  return groups;
}

/// Waits for events or the next timer, and detects pauses of the process.
void
carried_daemon::wait()
{
  ::poll(descriptors_.data(), descriptors_.size(), wait_time(now_));
  const instant before = now_;
  now_ = boot_clock_now();
  if (now_ - before > steering_timing::pause_threshold) {
    write_log(log_level::warning,
              "daemon",
              "paused ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(now_ - before).count()));
    engine_.on_pause(now_);
    loads_.on_pause();
  } else if (now_ - before > slow_round) {
    write_log(log_level::info,
              "daemon",
              "slow round ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(now_ - before).count()));
  }
}

void
carried_daemon::handle_events(const poll_groups& groups)
{
  const std::span<const pollfd> polled = descriptors_;
  const auto group = [&polled](std::size_t begin, std::size_t end) { return polled.subspan(begin, end - begin); };
  // After a pause, the results of poll() may be out of date, so the socket is read in any case.
  const bool packets_ready = any_ready(group(0, groups.records));
  if (groups.takes_packets && (engine_.has_backlog() || packets_ready)) {
    guard_.run("flow", [this] { packets_.advance(records_.confirmed_at(), now_); });
  } else if (packets_ready) {
    records_.on_callers_waiting();
  }
  const store_position position = records_.cache().position();
  const instant renewed_at = records_.renewed_at();
  if (member_discovery_) { // First, since a daemon that starts waits for members before it reads records.
    const bool ready = any_ready(group(groups.member_discovery, groups.observations));
    guard_.run("members", [this, ready] { member_discovery_->advance(ready, now_); });
  }
  const bool records_ready = any_ready(group(groups.records, groups.member_discovery));
  if (!guard_.run("records", [this, records_ready] { records_.advance(records_ready, now_); })) {
    records_.abandon_call(now_);
  }
  const bool observations_ready = any_ready(group(groups.observations, groups.loads));
  guard_.run("observations",
             [this, observations_ready] { observations_.advance(observations_ready, records_.followed(), now_); });
  guard_.run("loads",
             [this, &group, &groups] { loads_.advance(group(groups.loads, groups.checks), records_.source(), now_); });
  for (const check_result& check : checks_.advance(group(groups.checks, groups.ready), now_)) {
    engine_.on_check(check.target, check.outcome, now_);
  }
  observations_.collect(now_);
  const bool tick_due = now_ >= next_tick_;
  const auto serve = [this, tick_due](page_server& server, std::span<const pollfd> waited, bool records_changed) {
    if (tick_due || records_changed || any_ready(waited)) {
      guard_.run("pages", [&server, waited, this] { server.advance(waited, now_); });
    }
  };
  serve(ready_server_, group(groups.ready, groups.metrics), false);
  if (metrics_server_) {
    serve(*metrics_server_, group(groups.metrics, groups.peers), false);
  }
  if (peer_server_) {
    const bool records_changed = records_.cache().position() != position || records_.renewed_at() != renewed_at;
    serve(*peer_server_, group(groups.peers, polled.size()), records_changed);
  }
}

void
carried_daemon::log_steering_events()
{
  for (const steering_event& change : engine_.take_events()) {
    write_log(log_level::info, change.part, change.message);
  }
  if (is_ready() != was_ready_) {
    was_ready_ = is_ready();
    write_log(log_level::info, "daemon", was_ready_ ? "ready" : std::string("not ready reason=") + unready_reason());
  }
}

/// Large transfers share the link with forwarded packets and checks.
void
carried_daemon::log_sent_records()
{
  if (!peer_server_ || peer_server_->sent_bytes() - logged_sent_bytes_ < min_logged_bytes) {
    return;
  }
  write_log(log_level::info,
            "records",
            "sent bytes=" + std::to_string(peer_server_->sent_bytes() - logged_sent_bytes_) +
              " unsent_bytes=" + std::to_string(peer_server_->unsent_bytes()));
  logged_sent_bytes_ = peer_server_->sent_bytes();
}

void
carried_daemon::reload(bool signalled)
{
  const reload_outcome outcome = settings_.reload();
  if (const auto* changed = std::get_if<settings_changed>(&outcome)) {
    apply(*changed);
  } else if (const auto* refused = std::get_if<settings_refused>(&outcome)) {
    if (signalled || !refused->repeated) {
      write_log(
        log_level::error, "daemon", "settings refused, the previous ones remain in effect: " + refused->why.message);
    }
  } else if (signalled) {
    write_log(log_level::info, "daemon", "settings read again, nothing changed");
  }
}

void
carried_daemon::apply(const settings_changed& changed)
{
  if (changed.needs_restart) {
    write_log(log_level::warning,
              "daemon",
              "changes of the VM name, domain, addresses, link rate and log level take effect at the next start");
  }
  steering_settings steering = changed.settings.steering;
  steering.self = started_with_.steering.self;
  steering.domain = started_with_.steering.domain;
  engine_.set_settings(steering);
  records_.set_settings(changed.settings.follower);
  records_.set_store(changed.settings.platform);
  if (member_discovery_) {
    member_discovery_->set_seeds(changed.settings.seeds);
  }
  write_log(log_level::info, "daemon", "settings changed " + changed.settings.log_fields());
}

void
carried_daemon::run_duties(instant now)
{
  if (process_signals::termination_requested() && !shutdown_.in_progress()) {
    shutdown_.begin(now);
    write_log(log_level::info, "daemon", "leaving flows=" + std::to_string(engine_.flows()));
  }
  const bool signalled = process_signals::take_reload_request();
  if (signalled || now >= next_settings_check_) {
    next_settings_check_ = now + settings_interval;
    reload(signalled);
  }
  if (now >= next_tick_) {
    next_tick_ = now + steering_timing::tick_interval;
    engine_.set_daemons_in_domain(sources_.daemons_in_domain(now));
    const std::vector<reset_flow> resets = engine_.tick(now);
    log_steering_events(); // Logged before the resets that they cause.
    packets_.send_resets(resets, now);
    // Uses the current time, since the work before may have taken a while.
    checks_.start(engine_.start_due_checks(now), boot_clock_now());
  }
  log_steering_events();
  if (now >= next_log_) {
    next_log_ = now + log_interval;
    packets_.report_suppressed();
    log_sent_records();
    flush_log();
  }
}

void
carried_daemon::run()
{
  now_ = boot_clock_now();
  started_ = now_;
  next_settings_check_ = now_ + settings_interval;
  engine_.on_pause(now_); // Like a pause: nothing was observed before the start.
  engine_.on_backlog_end();
  if (member_discovery_ && member_discovery_->has_other_seeds()) {
    sources_.expect_members(now_);
  }
  while (!shutdown_.may_exit(packets_.last_packet(), settings_.current().shutdown_grace, now_)) {
    const poll_groups groups = collect_descriptors();
    wait();
    handle_events(groups);
    guard_.run("daemon", [this] { run_duties(now_); });
  }
  write_log(log_level::info, "daemon", "left");
}

}
