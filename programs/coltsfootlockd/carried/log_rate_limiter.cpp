#include "carried/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

bool
log_rate_limiter::allow(instant now)
{
  const std::chrono::duration<double> passed = now - counted_;
  left_ = std::min(per_second_, left_ + passed.count() * per_second_);
  counted_ = now;
  if (left_ < 1) {
    ++suppressed_;
    return false;
  }
  left_ -= 1;
  return true;
}

std::uint64_t
log_rate_limiter::take_suppressed()
{
  return std::exchange(suppressed_, 0);
}

}
