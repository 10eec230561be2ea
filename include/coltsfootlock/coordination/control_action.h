#pragma once

#include "coltsfootlock/coordination/routing_view.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace coltsfootlock {

enum class published_record : std::uint8_t
{
  catalogue,
  vm_list,
};

struct send_heartbeat
{
  vm_id to;
  endpoint address;
  heartbeat message;
};

/// Reads a record from the platform; the platform responds once its version exceeds `after` or `wait` has passed.
struct read_platform
{
  published_record record;
  std::uint64_t after = 0;
  seconds wait{ 0 };
};

/// Fetches a record from a peer by JSON-RPC.
struct fetch_from_peer
{
  published_record record;
  vm_id peer;
  endpoint address;
};

/// Requests the flow records whose home is this daemon from a peer of its domain.
struct pull_flows
{
  vm_id peer;
  endpoint address;
};

struct poll_target_load
{
  vm_id target;
  endpoint address;
};

struct publish_view
{
  std::shared_ptr<const routing_view> view;
};

/// A log line; `part` is its fixed prefix without the colon.
struct log_decision
{
  std::string part;
  std::string text;
};

using control_action = std::
  variant<send_heartbeat, read_platform, fetch_from_peer, pull_flows, poll_target_load, publish_view, log_decision>;

}
