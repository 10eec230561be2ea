#pragma once

#include "coltsfootlock/state/time.h"

#include <cstddef>
#include <optional>

namespace coltsfootlock {

/// Detects from the forwarded packets that a daemon no longer reaches any target.
///
/// Load pattern: a failure domain whose targets are out of service is cut off from the others, while callers still
/// reach its daemons. An isolated daemon reports that it is not ready, which moves its callers to a domain that can
/// serve them. Since packets name their target, another daemon can continue the flows at once.
class isolation_detector
{
public:
  /// A daemon is isolated after this many packets without an answer from any target, and this long after the first of
  /// them. The time is longer than most requests run plus two round trips; under usual load a daemon sees an answer
  /// every 30 ms.
  static constexpr std::size_t min_unanswered_packets = 5;
  static constexpr milliseconds min_silence{ 500 };

  /// An isolated daemon requests traffic again after `min_isolation` if its records are current, and after
  /// `max_isolation` in any case, since without traffic it cannot detect the end of its isolation.
  static constexpr milliseconds min_isolation{ 3000 };
  static constexpr milliseconds max_isolation{ 10000 };

  /// A packet that needs an answer went to a target.
  void on_request(instant now);

  /// A target answered.
  void on_progress();

  /// The process was paused. Answers may have been missed, so the count of unanswered packets starts again.
  void on_pause();

  /// To be called regularly. `records_current`: the records of the store or of another daemon are up to date.
  void tick(bool records_current, instant now);

  bool isolated() const { return isolated_since_.has_value(); }

private:
  std::size_t unanswered_ = 0;
  instant unanswered_since_;
  std::optional<instant> isolated_since_;
};

}
