#pragma once

#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// Answers of one target that a daemon, or all daemons of a domain, observed in one window of `load_window`.
struct target_load
{
  vm_id target;
  std::uint32_t answers = 0;
  std::uint64_t answer_ms = 0; ///< Sum of the durations of these answers.

  auto operator<=>(const target_load&) const = default;
};

/// Length of the windows in which daemons count answers.
inline constexpr milliseconds load_window{ 500 };

/// The load of one target as far as it is known, over all domains that report it.
struct target_load_view
{
  vm_id target;
  double outstanding = 0; ///< Mean number of outstanding requests: the rate of answers times their duration.
  std::uint32_t answers = 0;
  milliseconds mean_answer{ 0 };

  auto operator<=>(const target_load_view&) const = default;
};

/// Views that are older than this are not used: three windows.
inline constexpr milliseconds max_load_view_age = 3 * load_window;

}
