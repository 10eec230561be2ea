#pragma once

#include "blocking_calls.h"
#include "control_inbox.h"
#include "control_snapshot.h"
#include "settings.h"
#include "traffic_loop.h"

#include "coltsfootlock/coordination/control_engine.h"
#include "coltsfootlock/transport/event_loop.h"
#include "coltsfootlock/transport/latest_value.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace coltsfootlock {

/// The control thread: passes events from the inbox to the control engine and carries out the actions it returns.
class control_loop
{
public:
  control_loop(const settings& values,
               std::uint64_t boot_id,
               control_inbox& inbox,
               traffic_loop& traffic,
               blocking_calls& calls);

  /// Runs until stop(). The other functions may be called from any thread.
  void run();
  void stop();

  /// Begins the graceful shutdown.
  void begin_leaving();

  /// Blocks until the graceful shutdown is complete.
  void wait_for_shutdown();

  /// Never null.
  std::shared_ptr<const control_snapshot> snapshot() const;

private:
  void process_events();
  void on_event(const heartbeat_received& event, instant now);
  void on_event(const target_reported& event, instant now);
  void on_event(const catalogue_read& event, instant now);
  void on_event(const vm_list_read& event, instant now);
  void on_event(const record_unchanged& event, instant now);
  void on_event(const read_failed& event, instant now);
  void on_event(const fetch_failed& event, instant now);
  void on_event(const flows_pulled& event, instant now);
  void tick(instant now);
  void query_seeds(instant now);
  void advance_shutdown(instant now);
  bool drained(instant now) const;
  void publish_snapshot();

  void carry_out(const std::vector<control_action>& actions);
  void perform(const send_heartbeat& action);
  void perform(const read_platform& action);
  void perform(const fetch_from_peer& action);
  void perform(const pull_flows& action);
  void perform(const poll_target_load& action);
  void perform(const publish_view& action);
  void perform(const log_decision& action);

  const settings& settings_;
  control_inbox& inbox_;
  traffic_loop& traffic_;
  blocking_calls& calls_;
  instant started_;
  control_engine engine_;
  event_loop loop_;
  latest_value<control_snapshot> snapshot_;
  std::shared_ptr<const traffic_snapshot> traffic_snapshot_;
  std::uint64_t catalogue_version_ = 0;
  std::optional<instant> catalogue_adopted_at_;
  std::optional<instant> platform_responded_at_;
  instant next_tick_{};
  instant next_seed_query_{};
  std::optional<instant> leaving_since_;
  bool shares_released_ = false;
  std::atomic<bool> leave_requested_{ false };
  std::atomic<bool> stopped_{ false };
  std::mutex shutdown_mutex_;
  std::condition_variable shutdown_changed_;
  bool shutdown_complete_ = false;
};

}
