#pragma once

#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace coltsfootlock {

enum class observation_kind : std::uint8_t
{
  lost, ///< A connection attempt failed. A hint: it orders placement and checks, and never ends a flow.
  alive ///< A caller acknowledged new data of the target. Refutes older evidence that the target is lost.
};

/// What a daemon found out about a target, for the other daemons of its domain.
struct target_observation
{
  vm_id target;
  std::uint64_t incarnation = 0;
  milliseconds age{ 0 }; ///< Time since the attempt started, or since the acknowledgement.
  observation_kind kind = observation_kind::lost;

  auto operator<=>(const target_observation&) const = default;
};

/// Observations of another daemon, with the number of the newest one that it knows.
struct observation_list
{
  std::vector<target_observation> observations;
  std::uint64_t newest = 0;

  bool operator==(const observation_list&) const = default;
};

}
