#pragma once

#include <chrono>

namespace coltsfootlock {

/// A point on the monotonic clock. Deciding functions receive it as an argument and never read a clock.
using instant = std::chrono::steady_clock::time_point;

/// A span of monotonic time.
using duration = std::chrono::steady_clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

}
