#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace coltsfootlock {

enum class placement_condition : std::uint8_t
{
  serving, ///< Takes new flows.
  cold,    ///< Has just started and has a part of its rate of new flows left.
  doubtful ///< Silent, or its record expired while the platform's store was away.
};

/// A target that may get a new flow.
struct placement_candidate
{
  std::size_t index = 0;   ///< Chosen by the caller of `place_flow`.
  std::size_t domain = 0;  ///< Equal for targets of one failure domain.
  bool own_domain = false; ///< Of the daemon's failure domain.
  placement_condition condition = placement_condition::serving;
  /// A first packet to it has waited for an answer for longer than a live target takes.
  bool answer_overdue = false;
  std::uint32_t open_flows = 0; ///< Known to this daemon.
  std::uint32_t slots = 1;
  std::uint64_t preference = 0; ///< Decides between equals; differs between daemons.

  auto operator<=>(const placement_candidate&) const = default;
};

/// Chooses the target of a new flow; empty without candidates.
///
/// Load patterns: callers of one domain keep many long flows and open new ones in bursts after a restart. Serving
/// targets of the own domain come first, since traffic between domains is dear; serving targets of other domains come
/// before cold and silent ones, which would make the caller wait. Among equals the target with the fewest flows for its
/// slots takes the flow.
std::optional<std::size_t>
place_flow(std::vector<placement_candidate> candidates);

}
