#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "coltsfootlock/coordination/timing.h"
#include "coltsfootlock/coordination/traffic_action.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Counters of one traffic engine since its start. They never decrease unless noted.
struct traffic_counters
{
  std::uint64_t packets_from_callers = 0;
  std::uint64_t packets_to_targets = 0;
  std::uint64_t packets_to_peers = 0;
  std::uint64_t packets_across_domains = 0;
  std::uint64_t flows_opened = 0;
  std::uint64_t flows_broken = 0;
  std::uint64_t flow_lookups_failed = 0;
  std::uint64_t requests_received = 0;
  std::uint64_t requests_dispatched = 0;
  std::uint64_t requests_answered = 0;
  std::uint64_t requests_retried = 0;
  std::uint64_t refusals[2][refusal_reason_count] = {}; ///< By run_outcome and refusal_reason.
  std::uint64_t answers_unmatched = 0;
  std::uint64_t packets_dropped = 0;
  std::uint64_t path_changes = 0;
  std::uint64_t invariant_failures = 0;
  std::uint64_t flows = 0;     ///< Current number of records.
  std::uint64_t in_flight = 0; ///< Current number of runs at targets.
  std::uint64_t queued = 0;    ///< Current number of waiting requests.
  std::uint64_t keys = 0;      ///< Current number of stored idempotency keys.
};

/// Current use of one target of the own domain.
struct target_use
{
  vm_id target;
  std::uint32_t in_flight = 0;
  std::uint32_t slot_share = 0;
  std::uint32_t adaptive_limit = 0;
  std::uint32_t open_flows = 0;
  std::uint32_t connection_share = 0;
  bool suspect = false;
};

/// Routes packets, flows and requests for the traffic thread. Not thread-safe.
class traffic_engine
{
public:
  traffic_engine(timing times, std::uint64_t seed);
  ~traffic_engine();
  traffic_engine(traffic_engine&&) noexcept;

  std::vector<traffic_action> set_view(std::shared_ptr<const routing_view> view, instant now);
  std::vector<traffic_action> on_caller_packet(const packet& value, instant now);
  std::vector<traffic_action> on_peer_message(const vm_id& from, const peer_message& value, instant now);
  std::vector<traffic_action> on_target_packet(const vm_id& from, const packet& value, instant now);
  std::vector<traffic_action> tick(instant now);

  /// Stops accepting new work; queued requests are handed to peers, and runs at targets finish.
  std::vector<traffic_action> begin_leaving(instant now);

  /// Returns true once nothing is queued or in flight.
  bool finished() const;

  /// Up to `limit` records whose home or deputy is `peer`, from position `cursor`. Sets `next` to the next cursor, or
  /// to 0 at the end.
  std::vector<flow_record> records_for(const vm_id& peer,
                                       std::size_t cursor,
                                       std::size_t limit,
                                       std::size_t& next) const;

  /// Adopts records that were pulled from a peer.
  void adopt(const std::vector<flow_record>& records, instant now);

  std::vector<group_capacity> capacity(instant now) const;
  std::vector<target_use> use(instant now) const;
  const traffic_counters& counters() const;

  /// Describes for operators how a packet would be routed and why, without changing any state.
  std::string explain(const flow_key& flow, const std::string& idempotency_key, instant now) const;

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}
