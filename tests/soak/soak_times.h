#pragma once

#include "coltsfootlock/state/time.h"

#include <array>

namespace coltsfootlock::soak {

inline constexpr std::array<const char*, 3> domains = { "a", "b", "c" };

/// Interval of the targets' reports; a record expires after three.
inline constexpr milliseconds heartbeat{ 770 };

/// A leaving target gets no new flows after this time, the shortest bound of the deployments.
inline constexpr milliseconds drain_bound{ 3000 };

}
