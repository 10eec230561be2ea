#pragma once

#include "coltsfootlock/state/flow_key.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace coltsfootlock {

/// Names a target within a packet of a flow; 0 names none.
using target_token = std::uint32_t;

/// What a daemon reads of a caller's packet whose flow's target is named by the packet itself. The payload is opaque.
struct carried_packet
{
  flow_key flow;
  target_token token = 0;     ///< The target of the flow, as the target's last packet named it.
  bool opens = false;         ///< Asks for a new flow.
  bool closes = false;        ///< The caller's last packet with data or later.
  bool resets = false;        ///< The caller gives the flow up.
  std::uint32_t sequence = 0; ///< Position of the payload in the caller's stream.
  /// Position up to which the caller has the target's stream. In an opening packet: how often it has been sent before.
  std::uint32_t acknowledged = 0;
  std::size_t payload_bytes = 0;

  auto operator<=>(const carried_packet&) const = default;
};

}
