#pragma once

#include "coltsfootlock/state/target_load.h"
#include "coltsfootlock/state/time.h"

#include <compare>

namespace coltsfootlock {

/// Answers of a target over the last seconds, and its speed relative to its group.
///
/// Load pattern: some targets run at half the speed of the others. With equal shares their queues fill while the others
/// have room.
struct target_pace
{
  double answers = 0;   ///< Number of answers; older ones count less.
  double answer_ms = 0; ///< Sum of their durations, with the same weights.
  instant updated_at;   ///< When the last window was added.
  double pace = 1;      ///< The group's mean answer duration divided by the target's.

  auto operator<=>(const target_pace&) const = default;
};

/// Adds a window in which the target had room. Windows without room are left out: rejections are fast, so that a full
/// target would look fast. Views that follow each other faster than windows end count in proportion.
target_pace
add_window(target_pace value, const target_load_view& view, instant now);

/// Sets the pace from the mean answer duration of the target's group. It is 1 if the target has too few answers.
target_pace
compare_with_group(target_pace value, double group_mean_ms);

/// The pace as far as it is known; 1 if the last window is too old.
double
pace_at(const target_pace& value, instant now);

/// Slow start of a target: the part of its normal share of new flows that it gets.
///
/// Load pattern: targets start and return while callers wait. An idle target attracts the new flows of all daemons, and
/// has to fill its caches and connections meanwhile.
struct target_ramp
{
  double fraction = 1; ///< Of the normal share, at the last step.
  instant since;       ///< When the last slow start began.
  instant last_step;   ///< When the fraction last changed; may be in the future.
  bool slow = false;   ///< A view since the last step showed slow answers.

  auto operator<=>(const target_ramp&) const = default;
};

/// The slow start begins at `start`, which may be in the future.
target_ramp
begin_ramp(instant start);

/// Applies the steps that are due: the fraction doubles with each window, or halves if the answers were slow.
target_ramp
advance_ramp(target_ramp value, instant now);

/// Notes the duration of the target's answers in a slow start.
target_ramp
observe_answers(target_ramp value, const target_load_view& view, double group_mean_ms, instant now);

}
