#pragma once

#include "world.h"

namespace review {

/// FAILBACK: a cold host gets no more opening packets in one second than `warmup-per-s` x `warmup-factor` +
/// `warmup-slack`, counting those that were sent and arrived inside that second. Returns the largest number of any
/// host.
inline std::size_t
most_in_one_second_of_cold_hosts(world& place)
{
  constexpr double span = 1.0;
  std::size_t most = 0;
  for (const auto& one : place.hosts) {
    std::size_t host_most = 0;
    double host_end = 0;
    for (const host::opening& last : one->openings) {
      std::size_t count = 0;
      for (const host::opening& other : one->openings) {
        count += other.cold && other.sent >= last.arrived - span && other.arrived <= last.arrived ? 1 : 0;
      }
      if (last.cold && count > host_most) {
        host_most = count;
        host_end = last.arrived;
      }
    }
    place.note("host " + one->id() + ": while cold at most " + std::to_string(host_most) +
               " opening packets in one second, which ends at " + std::to_string(host_end));
    most = std::max(most, host_most);
  }
  return most;
}

}
