#pragma once

#include "coltsfootlock/state/time.h"

#include <cstddef>
#include <optional>

namespace coltsfootlock {

/// Tells whether a daemon still reaches targets, from the packets that pass it.
///
/// Load pattern: a failure domain whose targets are out of service is cut off from the others, while callers still
/// reach its daemons. Each daemon that asks for no more traffic sends its callers to a domain that can serve them;
/// since flows name their targets, another daemon can go on with them at once.
class isolation_detector
{
public:
  /// Packets without any answer from any target, and the time since the first of them, that show isolation. Longer than
  /// the run of most requests and two round trips; a usual daemon sees an answer every 30 ms.
  static constexpr std::size_t min_unanswered_packets = 5;
  static constexpr milliseconds min_silence{ 500 };

  /// An isolated daemon asks for traffic again after the first of these if it is in touch with the store or another
  /// daemon, and after the second in any case, since without traffic it cannot see that it is no longer isolated.
  static constexpr milliseconds min_isolation{ 3000 };
  static constexpr milliseconds max_isolation{ 10000 };

  /// A packet that needs an answer went to a target.
  void on_request(instant now);

  /// A target answered.
  void on_progress();

  /// The process was paused: what it did not see proves nothing.
  void on_pause();

  /// To be called regularly. `in_touch`: the records are current.
  void tick(bool records_current, instant now);

  bool isolated() const { return isolated_since_.has_value(); }

private:
  std::size_t unanswered_ = 0;
  instant unanswered_since_;
  std::optional<instant> isolated_since_;
};

}
