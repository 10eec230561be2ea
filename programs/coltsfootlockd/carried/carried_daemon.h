#pragma once

#include "carried/carried_settings.h"
#include "carried/exception_guard.h"
#include "carried/graceful_shutdown.h"
#include "carried/load_path.h"
#include "carried/member_discovery.h"
#include "carried/packet_path.h"
#include "carried/record_path.h"
#include "carried/settings_reloader.h"
#include "carried/target_checks.h"

#include "coltsfootlock/coordination/steering/steering_engine.h"
#include "coltsfootlock/transport/page_server.h"
#include "coltsfootlock/transport/udp_socket.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

/// A daemon that routes carried flows. A single thread waits for packets, responses and timers.
class carried_daemon
{
public:
  /// `given`: flags and environment. The settings file that they specify is reloaded whenever it changes.
  carried_daemon(value_map given, const carried_settings& settings, udp_socket socket, page_server ready_server);

  void serve_metrics(page_server server);

  /// Serves the records to other daemons, and lets this daemon follow others.
  void serve_peers(const endpoint& call_address, page_server server);

  /// Returns after SIGTERM.
  void run();

private:
  page ready_page();
  bool is_ready() const { return engine_.accepts_flows() && !engine_.isolated() && !shutdown_.in_progress(); }
  const char* unready_reason() const;
  /// Index of the first polled descriptor of each part; the packet socket comes first.
  struct poll_groups
  {
    bool takes_packets = false;
    std::size_t records = 0;
    std::size_t member_discovery = 0;
    std::size_t observations = 0;
    std::size_t loads = 0;
    std::size_t checks = 0;
    std::size_t ready = 0;
    std::size_t metrics = 0;
    std::size_t peers = 0;
  };

  int wait_time(instant now) const;
  poll_groups collect_descriptors();
  void wait();
  void handle_events(const poll_groups& groups);
  void run_duties(instant now);
  void log_steering_events();
  void log_sent_records();
  void reload(bool signalled);
  void apply(const settings_changed& changed);

  const carried_settings started_with_;
  settings_reloader settings_;
  steering_engine engine_;
  packet_path packets_;
  source_choice sources_;
  observation_path observations_;
  load_path loads_;
  record_path records_;
  std::optional<member_discovery> member_discovery_;
  std::optional<page_server> peer_server_;
  target_checks checks_;
  page_server ready_server_;
  std::optional<page_server> metrics_server_;
  std::vector<pollfd> descriptors_;
  exception_guard guard_;
  instant now_;
  instant started_;
  instant next_tick_;
  instant next_log_;
  instant next_settings_check_;
  graceful_shutdown shutdown_;
  std::uint64_t logged_sent_bytes_ = 0;
  bool was_ready_ = false;
};

}
