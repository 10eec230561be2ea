#include "platform_budget.h"

namespace coltsfootlock {

bool
platform_budget::try_acquire(instant now)
{
  std::optional<instant>& oldest = recent_[oldest_];
  if (oldest && now - *oldest < seconds(1)) {
    return false;
  }
  oldest = now;
  oldest_ = (oldest_ + 1) % calls_per_second;
  return true;
}

}
