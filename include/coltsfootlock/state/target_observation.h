#pragma once

#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace coltsfootlock {

/// A daemon found that a target does not run or cannot be reached. Daemons of a domain exchange this as a hint: it
/// orders placement and checks, and never ends a flow.
struct target_observation
{
  vm_id target;
  std::uint64_t incarnation = 0;
  milliseconds age{ 0 }; ///< Time since the check that showed it.

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
