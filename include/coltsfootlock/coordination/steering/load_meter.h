#pragma once

#include "coltsfootlock/state/target_load.h"
#include "coltsfootlock/state/time.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace coltsfootlock {

/// Counts the answers of each target, and their durations, in windows of `load_window`.
///
/// Load pattern: a saturated target rejects requests quickly, so that the duration of its answers says nothing about
/// its load. The sum of the durations divided by the window is the mean number of outstanding requests (Little's law).
///
/// Memory: one entry for each target that answered in the current window.
class load_meter
{
public:
  /// Windows begin at `phase` after multiples of `load_window`, so that daemons do not report at the same time.
  explicit load_meter(milliseconds phase = milliseconds(0));

  /// `taken`: from the last packet of the request to the first acknowledgement of its answer. At most
  /// `load_limits::max_answer_time` of it counts.
  void on_answer(const vm_id& target, duration taken, instant now);

  /// The rows of the newest complete window, by target, once; empty if no window ended since the last call. If the call
  /// comes more than a window late, the newest window has no rows.
  std::optional<std::vector<target_load>> take_window(instant now);

  /// Discards the current window. What was observed before a pause of the process is incomplete.
  void on_pause(instant now);

private:
  struct answer_count
  {
    std::uint32_t answers = 0;
    duration taken{ 0 };
  };

  using window_number = duration::rep;

  window_number window_of(instant now) const;
  void advance(instant now);

  milliseconds phase_;
  std::optional<window_number> current_; ///< Number of the window in `counts_`; empty before the first call.
  std::unordered_map<vm_id, answer_count> counts_;
  std::optional<std::vector<target_load>> complete_; ///< Not taken yet.
};

}
