#include "request_duration_limit.h"

#include <algorithm>

namespace coltsfootlock {

void
request_duration_limit::on_catalogue(const catalogue& value, instant now)
{
  duration max_timeout{};
  for (const service& entry : value.services) {
    max_timeout = std::max<duration>(max_timeout, milliseconds(entry.request_timeout_ms));
  }
  if (max_timeout < current_) {
    earlier_ = at(now);
    earlier_ends_ = now + earlier_;
  }
  current_ = max_timeout;
}

duration
request_duration_limit::at(instant now) const
{
  return now < earlier_ends_ ? std::max(current_, earlier_) : current_;
}

}
