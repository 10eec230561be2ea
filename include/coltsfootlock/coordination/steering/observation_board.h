#pragma once

#include "coltsfootlock/state/target_observation.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace coltsfootlock {

/// The newest observations of lost and of living targets that this daemon knows: its own, and those of the daemons that
/// follow it or that it follows.
///
/// Load pattern: a fifth of all targets is lost at once, while hundreds of daemons open a few flows a second each.
/// Every daemon would have to try each lost target itself, at the cost of one caller's attempt. An observation travels
/// from a daemon to the source of its records, and from there to all that follow it, so that a domain needs one attempt
/// for each lost target.
///
/// Load pattern: saturated targets refuse attempts of some daemons and answer callers of others. An observation that a
/// target is alive refutes older ones that it is lost, and prevents resets by daemons that do not see its answers.
class observation_board
{
public:
  /// Older observations are of no use: the target may be back.
  static constexpr milliseconds max_age{ 2800 };

  /// A newer observation of the same target is passed on only if it is newer by this much, so that the number of
  /// messages does not depend on the number of daemons that observe a target.
  static constexpr milliseconds min_renewal{ 1000 };

  /// The same for living targets, and for lost ones whose last observation was refuted. A later one of a living target
  /// is merged into the known one and passed on after this time, or with the next response to a follower, so that every
  /// answer of a target is known in its domain within `steering_timing::report_transfer_time`.
  static constexpr milliseconds min_alive_renewal{ 250 };

  /// Limits the memory that other daemons can use.
  static constexpr std::size_t max_entries = 2048;

  enum class origin
  {
    own,      ///< Made by this daemon.
    follower, ///< Sent by a daemon that follows this one.
    source    ///< Sent by the daemon that this one follows, which needs not be told.
  };

  /// Returns true if the observation is new. If the board is full, an observation of a living target replaces the
  /// oldest one of a lost target, which is only a hint.
  bool add(const target_observation& observation, origin from, instant now);

  /// Observations after the one with this number, for a daemon that follows this one. A number that was not given yet
  /// is of a previous process, so that all observations are returned.
  observation_list since(std::uint64_t number, instant now) const;

  /// Observations that the source of this daemon's records has not been sent: at most `limit`, living
  /// targets first, then oldest first.
  std::vector<target_observation> unsent(std::size_t limit, instant now) const;

  /// The source has received what `unsent` returned at `taken_at`.
  void on_sent(const std::vector<target_observation>& observations, instant taken_at);

  /// Number of the newest observation; 0 without any.
  std::uint64_t newest() const { return newest_; }

private:
  struct entry
  {
    std::uint64_t incarnation = 0;
    instant seen_at;
    std::uint64_t number = 0;
    instant passed_on_at; ///< When the number was given, or the source was sent it.
    bool merged = false;  ///< A later observation was merged into it since.
    bool unsent = false;
  };

  using key = std::pair<vm_id, observation_kind>;

  void remove_old(instant now);
  bool make_room(observation_kind kind);
  bool merge_alive(entry& known, instant seen_at, origin from, instant now) const;
  bool is_refuted(const vm_id& target, instant lost_at) const;

  std::map<key, entry> entries_;
  std::uint64_t newest_ = 0;
};

}
