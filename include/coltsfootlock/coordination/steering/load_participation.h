#pragma once

#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coltsfootlock {

/// The load of one target group as this daemon observed it in one window.
struct group_load
{
  std::string group;
  double outstanding = 0;    ///< Mean number of outstanding requests that passed this daemon.
  std::uint64_t slots = 0;   ///< Of the group's targets that this daemon's domain uses.
  std::uint64_t answers = 0; ///< From which `outstanding` was computed.

  auto operator<=>(const group_load&) const = default;
};

/// Decides from a daemon's own observations whether it is under load.
///
/// Load pattern: a day of moderate load. One daemon sees a few answers of a group in a window, whose number and
/// durations vary by more than half, so that single windows exceed the limit although the domain is far below it. The
/// limit therefore applies to a mean over some windows, less what random variation can explain.
class load_participation
{
public:
  /// A daemon stays under load for this long after the last window above the limit.
  static constexpr milliseconds hold{ 3000 };

  /// Part of the slots above which a group is under load.
  static constexpr double limit = 0.5;

  /// Weight of the newest window in the mean.
  static constexpr double newest_weight = 0.2;

  /// Standard deviations of the mean that are left out. A group at 30% of its slots with 0.3 to 20 answers in a window
  /// reached 36% in 60,000 simulated windows; 120% were noticed after 2 to 4 windows with at least 4 answers each, and
  /// after 11 with one.
  static constexpr double deviations = 2.5;

  /// A mean over fewer answers says nothing: their distribution is too skewed for the standard deviation.
  static constexpr double min_answers = 30;

  /// Handles the groups of one window. Groups that had no answers in it may be missing. Returns true if a group exceeds
  /// the limit, if it has the same load at all `daemons` of the domain.
  bool on_window(const std::vector<group_load>& groups, std::size_t daemons, instant now);

  bool loaded(instant now) const { return now < loaded_until_; }

  /// The group that exceeded the limit last.
  const std::string& group() const { return group_; }

  /// What was observed before a pause of the process is out of date.
  void on_pause();

private:
  struct group_mean
  {
    double outstanding = 0;
    double answers = 0;
    std::uint64_t slots = 0;
  };

  static double certain_part(const group_mean& mean);

  std::map<std::string, group_mean> means_;
  instant loaded_until_;
  std::string group_;
};

}
