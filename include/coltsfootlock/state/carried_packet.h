#pragma once

#include "coltsfootlock/state/flow_key.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace coltsfootlock {

/// Identifies a target in the packets of a flow; 0 means none.
using target_token = std::uint32_t;

/// The fields of a caller's packet of a carried flow that a daemon reads. The payload is opaque.
struct carried_packet
{
  flow_key flow;
  target_token token = 0;     ///< The target of the flow, copied by the caller from the target's last packet.
  bool opens = false;         ///< First packet of a new flow.
  bool closes = false;        ///< The caller has no more data after this packet.
  bool resets = false;        ///< The caller aborts the flow.
  std::uint32_t sequence = 0; ///< Position of the payload in the caller's stream.
  /// Position up to which the caller has received the target's stream. In a first packet: how often it was sent before.
  std::uint32_t acknowledged = 0;
  std::size_t payload_bytes = 0;

  auto operator<=>(const carried_packet&) const = default;
};

}
