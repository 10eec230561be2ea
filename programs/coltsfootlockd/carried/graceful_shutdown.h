#pragma once

#include "coltsfootlock/state/time.h"

#include <optional>

namespace coltsfootlock {

/// Decides when a daemon that received SIGTERM exits: once it is out of rotation and no packets arrive, at the latest
/// shortly before the end of its grace period.
class graceful_shutdown
{
public:
  void begin(instant now);
  bool in_progress() const { return began_.has_value(); }

  /// A readiness probe was refused, which takes the daemon out of rotation after some time.
  void on_refused_probe();

  /// When the process exits at the latest; empty unless a shutdown is in progress. `grace`: time from SIGTERM until the
  /// process must have ended.
  std::optional<instant> deadline(milliseconds grace) const;

  bool may_exit(instant last_packet, milliseconds grace, instant now) const;

private:
  /// Reserved for the exit of the process.
  static constexpr milliseconds max_exit_margin{ 1000 };

  /// The daemon is out of rotation after this many refused probes. It exits once no packet has arrived for
  /// `quiet_time`.
  static constexpr int probes_before_exit = 2;
  static constexpr milliseconds quiet_time{ 300 };

  std::optional<instant> began_;
  int refused_probes_ = 0;
};

}
