#include "carried/graceful_shutdown.h"

#include <algorithm>

namespace coltsfootlock {

void
graceful_shutdown::begin(instant now)
{
  began_ = began_.value_or(now);
}

void
graceful_shutdown::on_refused_probe()
{
  refused_probes_ += in_progress() ? 1 : 0;
}

/// A grace period that is hardly longer than the margin, or shorter, is divided in half: without that the daemon would
/// exit at once and cut the requests that it could still forward.
std::optional<instant>
graceful_shutdown::deadline(milliseconds grace) const
{
  if (!began_) {
    return std::nullopt;
  }
  return *began_ + grace - std::min(max_exit_margin, grace / 2);
}

bool
graceful_shutdown::may_exit(instant last_packet, milliseconds grace, instant now) const
{
  const auto latest = deadline(grace);
  if (!latest) {
    return false;
  }
  const bool out_of_rotation = refused_probes_ >= probes_before_exit;
  return (out_of_rotation && now - last_packet > quiet_time) || now >= *latest;
}

}
