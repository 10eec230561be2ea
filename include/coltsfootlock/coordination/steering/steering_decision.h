#pragma once

#include "coltsfootlock/state/carried_packet.h"
#include "coltsfootlock/state/service.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace coltsfootlock {

/// Why a packet was forwarded to its target.
enum class forward_reason : std::uint8_t
{
  named,    ///< The packet names the target.
  placed,   ///< First packet of a flow.
  repeated, ///< Copy of a first packet, forwarded to the same target.
  moved     ///< Copy of a first packet, forwarded to another target: the first one was silent, or gets no new flows.
};

enum class flow_end_reason : std::uint8_t
{
  no_service,       ///< The catalogue has no service at this address.
  no_target,        ///< The service has no target that accepts new flows.
  target_gone,      ///< The flow's target is gone.
  target_restarted, ///< The flow's target restarted and has lost the flow.
  target_dead       ///< Checks showed that the flow's target does not run or is unreachable.
};

enum class drop_reason : std::uint8_t
{
  not_ready,        ///< The records have not been received yet.
  stale_records,    ///< The service is unknown, but the records are too old to reset the flow for that reason.
  unknown_target,   ///< No target has the token of the packet.
  ambiguous_target, ///< Several targets have the token of the packet.
  late_open,    ///< A first packet that was queued while the process was paused; its copies may have opened the flow
                ///< elsewhere.
  outdated_copy ///< A copy of a first packet whose flow is open at a target that gets no new flows of the service.
};

inline constexpr std::size_t forward_reason_count = 4;
inline constexpr std::size_t flow_end_reason_count = 5;
inline constexpr std::size_t drop_reason_count = 6;

const char*
to_string(forward_reason value);
const char*
to_string(flow_end_reason value);
const char*
to_string(drop_reason value);

/// Forward the packet to a target, with its token replaced by `token`.
struct forward_packet
{
  forward_reason reason = forward_reason::named;
  endpoint address;
  std::uint64_t tag = 0;
  target_token token = 0;
  vm_id target;                                    ///< Empty for `named`, since such packets are not logged.
  std::size_t candidates = 0;                      ///< Number of targets that were considered.
  std::uint32_t open_flows = 0;                    ///< Open flows of the chosen target that this daemon counts.
  std::optional<double> outstanding_per_slot = {}; ///< Of the chosen target, if it has a fresh load view.

  auto operator<=>(const forward_packet&) const = default;
};

/// What this daemon knew of a flow when it decided to reset it.
struct reset_evidence
{
  milliseconds judgement_age{ 0 }; ///< Time since its target was found to be lost.
  milliseconds packet_age{ 0 };    ///< Time since the last packet of the flow.
  bool waiting = false;            ///< The caller waits for an answer.

  auto operator<=>(const reset_evidence&) const = default;
};

/// Send a reset of the flow to the caller.
struct reset_flow
{
  flow_end_reason reason = flow_end_reason::no_service;
  flow_key flow;
  std::uint32_t sequence = 0;             ///< Next position of the target's stream that the caller expects.
  vm_id target;                           ///< Empty if the flow had none.
  std::optional<reset_evidence> evidence; ///< Empty if a packet of the flow is being answered.

  auto operator<=>(const reset_flow&) const = default;
};

struct drop_packet
{
  drop_reason reason = drop_reason::not_ready;

  auto operator<=>(const drop_packet&) const = default;
};

using steering_decision = std::variant<forward_packet, reset_flow, drop_packet>;

}
