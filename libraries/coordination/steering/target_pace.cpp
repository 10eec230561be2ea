#include "coltsfootlock/coordination/steering/target_pace.h"

#include <algorithm>
#include <cmath>

namespace coltsfootlock {

namespace {

constexpr double min_pace = 0.25;
constexpr double max_pace = 2;

/// Fewer answers do not tell a slow target from one with a few long requests.
constexpr double min_answers = 5;

/// Time constant of the averages: six windows.
constexpr std::chrono::duration<double> smoothing_time = 6 * load_window;

/// A pace without new windows for this long is unknown. A target that is full all the time has no window with room, and
/// is no faster for it.
constexpr milliseconds pace_retention{ 10000 };

constexpr double first_fraction = 0.125;

/// Answers that take this many times the group's mean are slow.
constexpr double slow_factor = 2;

}

target_pace
add_window(target_pace value, const target_load_view& view, instant now)
{
  const std::chrono::duration<double> window = load_window;
  const bool is_first = value.updated_at == instant{} || now - value.updated_at > pace_retention;
  const std::chrono::duration<double> passed = is_first ? window : now - value.updated_at;
  const double kept = is_first ? 0 : std::exp(-passed / smoothing_time);
  const double added = std::min(passed / window, 1.0) * view.answers;
  value.answers = value.answers * kept + added;
  value.answer_ms = value.answer_ms * kept + added * static_cast<double>(view.mean_answer.count());
  value.updated_at = now;
  return value;
}

target_pace
compare_with_group(target_pace value, double group_mean_ms)
{
  const bool known = value.answers >= min_answers && value.answer_ms > 0 && group_mean_ms > 0;
  value.pace = known ? std::clamp(group_mean_ms * value.answers / value.answer_ms, min_pace, max_pace) : 1;
  return value;
}

double
pace_at(const target_pace& value, instant now)
{
  return now - value.updated_at > pace_retention ? 1 : value.pace;
}

target_ramp
begin_ramp(instant start)
{
  return { first_fraction, start, start, false };
}

target_ramp
advance_ramp(target_ramp value, instant now)
{
  while (value.fraction < 1 && now - value.last_step >= load_window) {
    value.fraction = value.slow ? std::max(value.fraction / 2, first_fraction) : std::min(value.fraction * 2, 1.0);
    value.last_step += load_window;
    value.slow = false;
  }
  return value;
}

target_ramp
observe_answers(target_ramp value, const target_load_view& view, double group_mean_ms, instant now)
{
  value = advance_ramp(value, now);
  const bool ramps = value.fraction < 1 && now >= value.since;
  const bool is_slow = view.answers > 0 && static_cast<double>(view.mean_answer.count()) > slow_factor * group_mean_ms;
  value.slow = ramps && (value.slow || is_slow);
  return value;
}

}
