#pragma once

#include "coltsfootlock/state/time.h"

#include <cstdint>

namespace coltsfootlock {

/// Bounds the log lines of one part: lines beyond the rate are counted instead of written.
class log_rate_limiter
{
public:
  /// `per_second` lines in the long run and as many at once.
  explicit log_rate_limiter(double per_second)
    : per_second_(per_second)
    , left_(per_second)
  {
  }

  /// True if a line may be written now.
  bool allow(instant now);

  /// Lines left out since the last call.
  std::uint64_t take_suppressed();

private:
  double per_second_;
  double left_;
  instant counted_;
  std::uint64_t suppressed_ = 0;
};

}
