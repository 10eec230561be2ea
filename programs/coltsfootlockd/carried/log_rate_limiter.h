#pragma once

#include "coltsfootlock/state/time.h"

#include <cstdint>

namespace coltsfootlock {

/// Limits the rate of log lines of one part. Lines beyond the rate are counted instead of written.
class log_rate_limiter
{
public:
  /// `per_second`: sustained rate and burst size.
  explicit log_rate_limiter(double per_second)
    : per_second_(per_second)
    , left_(per_second)
  {
  }

  /// True if a line may be written now; otherwise counts it as suppressed.
  bool allow(instant now);

  /// Returns the number of suppressed lines since the last call.
  std::uint64_t take_suppressed();

private:
  double per_second_;
  double left_;
  instant counted_;
  std::uint64_t suppressed_ = 0;
};

}
