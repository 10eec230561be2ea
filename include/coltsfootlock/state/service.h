#pragma once

#include "coltsfootlock/state/endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootlock {

/// How urgent the traffic of a service is; lower values are served first.
enum class service_class : std::uint8_t
{
  urgent = 0,
  normal = 1,
  bulk = 2,
};

inline constexpr std::size_t service_class_count = 3;

const char*
to_string(service_class value);

/// What one target of the group bears. Services that share a group state equal limits.
struct target_limits
{
  std::uint32_t slots = 1;            ///< Requests that run at once.
  std::uint32_t connections = 1;      ///< Open flows.
  std::uint32_t cold_slots = 1;       ///< Requests at once right after a cold start.
  std::uint32_t cold_connections = 1; ///< Open flows right after a cold start.
  std::uint32_t warm_up_seconds = 0;  ///< Time over which the cold allowance grows to the full limits.

  auto operator<=>(const target_limits&) const = default;
};

/// A target group that takes a part of a service's new flows.
struct group_weight
{
  std::string target_group;
  std::uint32_t weight = 1;

  auto operator<=>(const group_weight&) const = default;
};

/// One catalogue entry.
struct service
{
  std::string name;
  std::string owner;
  service_class urgency = service_class::normal;
  endpoint address;         ///< The virtual address that callers use.
  std::string target_group; ///< Targets in the VM list with this group serve the service.
  target_limits limits;
  std::uint32_t request_timeout_ms = 2000; ///< Longest run time of one request at a target.
  std::uint32_t queue_limit = 256;         ///< Requests that may wait per daemon.
  bool idempotent = false;                 ///< Callers may repeat all requests of the service.
  std::vector<group_weight> split = {};    ///< Divides the new flows among groups; if empty, target_group takes all.
  std::uint32_t latency_goal_ms = 0;       ///< Time in which callers want answers; 0 if it is not stated.
  bool urgency_known = true;               ///< False if the operators state no usable urgency.

  auto operator<=>(const service&) const = default;
};

}
