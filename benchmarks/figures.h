#pragma once

#include <cstdint>

namespace coltsfootlock::benchmark {

/// Each prints its figures and returns the number of goals missed.

/// Processor time and memory of the traffic engine.
int
measure_engine();

/// Broken flows, imbalance and locality of flows on the simulated fleet.
int
measure_flows(std::uint64_t seed);

/// Balance, locality and service of requests, also while a domain leaves and returns.
int
measure_requests(std::uint64_t seed);

/// Sizes and parse times of the published records.
void
measure_records();

/// Control traffic, processor time and time in force on the simulated fleet.
int
measure_control(std::uint64_t seed);

}
