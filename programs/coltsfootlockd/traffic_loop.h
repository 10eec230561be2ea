#pragma once

#include "control_inbox.h"
#include "settings.h"
#include "traffic_command.h"
#include "traffic_sender.h"
#include "traffic_snapshot.h"
#include "traffic_sockets.h"

#include "coltsfootlock/coordination/traffic_engine.h"
#include "coltsfootlock/protocol/datagram_seal.h"
#include "coltsfootlock/transport/bounded_queue.h"
#include "coltsfootlock/transport/event_loop.h"
#include "coltsfootlock/transport/latest_value.h"
#include "coltsfootlock/transport/wake_event.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// The traffic thread: receives datagrams, passes them to the traffic engine and carries out the actions it returns.
class traffic_loop
{
public:
  traffic_loop(const settings& values, std::uint64_t boot_id, traffic_sockets sockets, control_inbox& inbox);

  /// Runs until stop(). The other functions may be called from any thread.
  void run();
  void stop();

  /// Hands a new view to the traffic thread, which applies the latest one at its next wake-up.
  void publish_view(std::shared_ptr<const routing_view> view);

  /// False if the command queue is full; the command is then dropped.
  bool post(traffic_command command);

  /// Stops accepting new work.
  void begin_leaving();

  /// Runs `read` on the engine in the traffic thread and returns its result; empty if there is none within `timeout`.
  std::optional<std::string> query(std::function<std::string(const traffic_engine&, instant)> read,
                                   milliseconds timeout);

  /// Never null.
  std::shared_ptr<const traffic_snapshot> snapshot() const;
  std::uint64_t dropped_commands() const;

private:
  void on_wake();
  void on_callers_readable();
  void on_targets_readable(udp_socket& socket);
  void on_peers_readable();
  void on_caller_datagram(const received_datagram& datagram);
  void on_target_datagram(const received_datagram& datagram);
  void on_peer_datagram(const received_datagram& datagram);
  void on_peer_message(const opened_datagram& datagram, peer_message message);
  void apply_view();
  void carry_out(const send_heartbeat& command);
  void carry_out(const adopt_records& command);
  void carry_out(const traffic_query& command);
  void tick(instant now);

  traffic_sockets sockets_;
  control_inbox& inbox_;
  traffic_engine engine_;
  datagram_seal seal_;
  datagram_counters counters_;
  traffic_sender sender_;
  event_loop loop_;
  wake_event wake_;
  bounded_queue<traffic_command> commands_;
  latest_value<routing_view> view_;
  latest_value<traffic_snapshot> snapshot_;
  std::shared_ptr<const routing_view> current_view_;
  std::map<endpoint, vm_id> targets_by_address_;
  instant next_tick_{};
  instant next_snapshot_{};
  bool leaving_ = false;
  std::atomic<bool> leave_requested_{ false };
  std::atomic<bool> stopped_{ false };
};

}
