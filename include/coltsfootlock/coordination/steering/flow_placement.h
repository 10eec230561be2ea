#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace coltsfootlock {

enum class placement_condition : std::uint8_t
{
  serving, ///< Accepts new flows.
  cold,    ///< Warming up after a start, with some of its rate of new flows left.
  doubtful ///< Unresponsive, or its record expired during an outage of the platform's store.
};

/// A target that may get a new flow.
struct placement_candidate
{
  std::size_t index = 0;   ///< Chosen by the caller of `place_flow`.
  std::size_t domain = 0;  ///< Identifies the failure domain; equal for its targets.
  bool own_domain = false; ///< True if the target is in the daemon's failure domain.
  placement_condition condition = placement_condition::serving;
  /// True if a first packet to it has been unanswered for longer than a live target takes.
  bool answer_overdue = false;
  std::uint32_t open_flows = 0; ///< Flows that this daemon counts for the target.
  std::uint32_t slots = 1;
  std::uint64_t preference = 0;           ///< Breaks ties; differs between daemons.
  std::optional<double> outstanding = {}; ///< Outstanding requests of all daemons; empty without a fresh load view.
  std::uint32_t awaiting = 0;             ///< Callers of this daemon that wait for the target.
  double speed = 1;                       ///< Pace and ramp: the part of a normal share that the target should get.

  auto operator<=>(const placement_candidate&) const = default;
};

/// A target has room while it has fewer outstanding requests than this for each slot: one waits for each that runs.
/// Beyond it the wait is longer than one answer (40 ms and more), compared with a latency of 0.5 to 4 ms between
/// domains. Traffic between domains has a price, so that flows do not leave their domain earlier.
inline constexpr double max_outstanding_per_slot = 2;

/// Where a flow was placed with load views.
enum class placement_room : std::uint8_t
{
  own_domain,   ///< A target of the own domain with room.
  other_domain, ///< A target of another domain with room.
  none          ///< A target without room.
};

inline constexpr std::size_t placement_room_count = 3;

const char*
to_string(placement_room value);

placement_room
room_of(const placement_candidate& candidate);

/// Outstanding requests of a target for each of its slots. Without a fresh load view they are at least those of this
/// daemon.
double
outstanding_per_slot(const placement_candidate& candidate);

/// True while the target is not known to be full. One without a fresh load view is taken to have room until the callers
/// of this daemon alone fill it.
bool
has_room(const placement_candidate& candidate);

/// True if any candidate has a fresh load view.
bool
has_load_views(const std::vector<placement_candidate>& candidates);

/// Chooses the target of a new flow; empty without candidates.
///
/// Load patterns: callers of one domain keep many long flows and open new ones in bursts after a restart. Serving
/// targets of the daemon's own domain come first, since traffic between domains is expensive. Serving targets of other
/// domains come before cold and unresponsive ones, which would make the caller wait. Among otherwise equal targets, the
/// one with the fewest flows per slot is chosen. Targets of the own domain may hold twice an even share of the flows.
///
/// Load pattern: demand differs between domains by half and moves in waves, and some targets are slower than others.
/// With a load view of any candidate, targets with room come first, those of the own domain before others. Among them
/// the least value of (open flows + x) / (slots * speed) is chosen, where x is a random number with mean 1 that depends
/// on the flow and the preference. A daemon has fewer flows than there are targets; with a constant x, all daemons
/// would send their flows to the few fastest targets. Targets without room follow by outstanding requests per slot, in
/// steps of one half: views are up to 1.5 s old, and a finer order would send the flows of all daemons to the same
/// target.
std::optional<std::size_t>
place_flow(const std::vector<placement_candidate>& candidates, std::uint64_t flow_hash);

}
