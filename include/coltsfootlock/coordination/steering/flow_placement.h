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
  std::uint64_t preference = 0; ///< Breaks ties; differs between daemons.

  auto operator<=>(const placement_candidate&) const = default;
};

/// Chooses the target of a new flow; empty without candidates.
///
/// Load patterns: callers of one domain keep many long flows and open new ones in bursts after a restart. Serving
/// targets of the daemon's own domain come first, since traffic between domains is expensive. Serving targets of other
/// domains come before cold and unresponsive ones, which would make the caller wait. Among otherwise equal targets, the
/// one with the fewest flows per slot is chosen.
std::optional<std::size_t>
place_flow(std::vector<placement_candidate> candidates);

}
