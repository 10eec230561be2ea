#pragma once

#include "coltsfootlock/state/time.h"

#include <cstddef>

namespace coltsfootlock {

/// Bounds of one HTTP call.
struct http_limits
{
  milliseconds connect{ 500 };
  milliseconds total{ 2000 };         ///< From the start of the call to the last byte of the body.
  std::size_t body_bytes = 64 * 1024; ///< A longer body fails the call.
};

}
