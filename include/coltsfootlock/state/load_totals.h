#pragma once

#include "coltsfootlock/state/target_load.h"
#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootlock {

/// What the daemons of all known domains observed in one window, as the daemon of a domain that reads the store
/// computes it and the others pass it on.
struct load_totals
{
  std::uint64_t number = 0;         ///< Given by the sender; a later total has a higher number.
  milliseconds age{ 0 };            ///< Time since the total was computed.
  std::string domain;               ///< Domain of the daemon that computed it.
  std::vector<target_load> own;     ///< Sum over the daemons of that domain.
  std::vector<target_load> foreign; ///< Sum over all other domains.

  auto operator<=>(const load_totals&) const = default;
};

/// What a daemon tells the source of its records: its own load and that of the daemons that follow it.
struct load_message
{
  std::vector<target_load> rows;
  bool loaded = false;     ///< The sender or a daemon that follows it is under load.
  std::uint32_t depth = 0; ///< Number of daemons that the oldest part of the rows passed before the sender.

  auto operator<=>(const load_message&) const = default;
};

namespace load_limits {

/// Maximum number of rows of a list. Longer lists of another daemon are refused.
inline constexpr std::size_t max_rows = 256;

/// Answers of a row: more than a domain of 1,600 daemons observes in a window, and small enough that no sum overflows.
inline constexpr std::uint32_t max_answers = 1000000;

/// Answers that take longer count as taking this long.
inline constexpr milliseconds max_answer_time{ 2000 };

}

}
