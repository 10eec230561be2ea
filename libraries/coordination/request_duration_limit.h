#pragma once

#include "coltsfootlock/state/catalogue.h"
#include "coltsfootlock/state/time.h"

namespace coltsfootlock {

/// Upper bound of the remaining run time of any request, over the current catalogue and earlier ones whose requests may
/// still run.
class request_duration_limit
{
public:
  void on_catalogue(const catalogue& value, instant now);
  duration at(instant now) const;

private:
  duration current_{};
  duration earlier_{};
  instant earlier_ends_{};
};

}
