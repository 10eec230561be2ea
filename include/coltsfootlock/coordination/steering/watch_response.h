#pragma once

#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// A watch request of another daemon that has not been answered yet.
struct pending_watch
{
  std::uint64_t revision = 0; ///< The follower has all changes up to this revision.
  instant requested_at;
  milliseconds max_wait{ 0 };

  auto operator<=>(const pending_watch&) const = default;
};

/// State of the records that this daemon relays.
struct record_status
{
  std::uint64_t revision = 0;
  milliseconds age{ 0 };
  instant renewed_at; ///< When this daemon last received a confirmation that its records are current.

  auto operator<=>(const record_status&) const = default;
};

/// True if the watch is to be answered now: there are changes, its maximum wait has passed, the records are older than
/// `max_age`, so that the follower has to choose another source, or they were confirmed after the request. The last
/// condition keeps the age of the records from growing with each relay between the store and the follower.
bool
response_is_due(const pending_watch& follower, const record_status& records, milliseconds max_age, instant now);

}
