#pragma once

#include "coltsfootlock/state/carried_packet.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace coltsfootlock {

/// Why a packet went to the target it went to.
enum class forward_reason : std::uint8_t
{
  named,    ///< The packet names the target.
  placed,   ///< First packet of a flow.
  repeated, ///< Copy of a first packet, sent where the first one went.
  moved     ///< Copy of a first packet, sent elsewhere because the first target was silent.
};

enum class flow_end_reason : std::uint8_t
{
  no_service,       ///< The catalogue has no service at this address.
  no_target,        ///< The service has no target that may take new flows.
  target_gone,      ///< The flow's target is gone.
  target_restarted, ///< The flow's target has started anew and no longer knows the flow.
  target_dead       ///< Checks showed that the flow's target is not there.
};

enum class drop_reason : std::uint8_t
{
  not_ready,        ///< The records are not known yet.
  stale_records,    ///< The service is unknown, and the records are too old to tell the caller so.
  unknown_target,   ///< No target has the token of the packet.
  ambiguous_target, ///< Several targets have the token of the packet.
  late_open         ///< A first packet that waited while the process was paused; its copies went elsewhere.
};

inline constexpr std::size_t forward_reason_count = 4;
inline constexpr std::size_t flow_end_reason_count = 5;
inline constexpr std::size_t drop_reason_count = 5;

const char*
to_string(forward_reason value);
const char*
to_string(flow_end_reason value);
const char*
to_string(drop_reason value);

/// Send the packet to a target, with `token` in place of the packet's own.
struct forward_packet
{
  forward_reason reason = forward_reason::named;
  endpoint address;
  std::uint64_t tag = 0;
  target_token token = 0;
  vm_id target;                 ///< Empty for `named`, which is not logged.
  std::size_t candidates = 0;   ///< Targets to choose from.
  std::uint32_t open_flows = 0; ///< Of the chosen target, known to this daemon.

  auto operator<=>(const forward_packet&) const = default;
};

/// Tell the caller that its flow is over.
struct reset_flow
{
  flow_end_reason reason = flow_end_reason::no_service;
  flow_key flow;
  std::uint32_t sequence = 0; ///< Where the caller expects the target's stream to go on.
  vm_id target;               ///< Empty if the flow had none.

  auto operator<=>(const reset_flow&) const = default;
};

struct drop_packet
{
  drop_reason reason = drop_reason::not_ready;

  auto operator<=>(const drop_packet&) const = default;
};

using steering_decision = std::variant<forward_packet, reset_flow, drop_packet>;

}
