#pragma once

#include "carried/log_rate_limiter.h"

#include "coltsfootlock/coordination/steering/steering_engine.h"
#include "coltsfootlock/transport/udp_socket.h"
#include "platform/packet_head.h"

#include <array>
#include <cstdint>
#include <optional>

namespace coltsfootlock {

struct packet_counters
{
  std::uint64_t malformed = 0;
  std::uint64_t send_failures = 0;

  auto operator<=>(const packet_counters&) const = default;
};

/// Receives packets of callers, passes them to the engine, and executes and logs its decisions.
class packet_path
{
public:
  packet_path(udp_socket socket, steering_engine& engine);

  int descriptor() const { return socket_.descriptor(); }

  /// Handles queued packets, up to a fixed number per call. `records_at`: when the records were last known to be
  /// complete.
  void advance(std::optional<instant> records_at, instant now);

  /// Sends resets of flows to their callers.
  void send_resets(const std::vector<reset_flow>& resets, instant now);

  /// Logs the number of suppressed lines.
  void report_suppressed();

  instant last_packet() const { return last_packet_; }
  const packet_counters& counters() const { return counters_; }

private:
  void handle(std::size_t size, std::optional<instant> records_at, instant now);
  void send_reset(const reset_flow& reset);
  void log_decision(const carried_packet& packet,
                    const steering_decision& decision,
                    std::optional<instant> records_at,
                    instant now);

  udp_socket socket_;
  steering_engine& engine_;
  std::array<char, platform::target_tag_bytes + platform::max_packet_bytes> buffer_{};
  packet_counters counters_;
  log_rate_limiter lines_;
  instant last_packet_;
};

}
