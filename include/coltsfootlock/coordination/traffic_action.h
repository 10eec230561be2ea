#pragma once

#include "coltsfootlock/coordination/control_action.h"
#include "coltsfootlock/state/packet.h"
#include "coltsfootlock/state/peer_message.h"

#include <cstdint>
#include <variant>

namespace coltsfootlock {

/// Sends a packet to a target. Each path number has a separate socket, so that a new path has a new source port.
struct send_to_target
{
  endpoint address;
  std::uint8_t path = 0;
  packet content;
};

/// Sends a packet to its caller through the fabric.
struct send_to_caller
{
  packet content;
};

struct send_to_peer
{
  vm_id peer;
  endpoint address;
  peer_message message;
};

/// Passes the report of a target to the control thread, which informs the peers.
struct report_target
{
  vm_id target;
  target_report report;
  bool shed = false; ///< The target refused work.
};

using traffic_action = std::variant<send_to_target, send_to_caller, send_to_peer, report_target, log_decision>;

}
