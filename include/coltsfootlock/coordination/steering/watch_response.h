#pragma once

#include "coltsfootlock/state/store_position.h"
#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// A watch request of another daemon that has not been answered yet.
struct pending_watch
{
  store_position position; ///< The follower has all changes up to this position.
  instant requested_at;
  milliseconds max_wait{ 0 };
  std::uint64_t observation = 0; ///< The follower has the observations up to this number.
  milliseconds max_age{ 0 };     ///< If the records are older, the follower chooses another source.

  auto operator<=>(const pending_watch&) const = default;
};

/// State of the records that this daemon relays.
struct record_status
{
  store_position position;
  milliseconds age{ 0 };
  instant renewed_at; ///< When this daemon last received a confirmation that its records are current.
  std::uint64_t newest_observation = 0;
  bool renewing = false; ///< This daemon has just asked another source for newer records.

  auto operator<=>(const record_status&) const = default;
};

/// True if the watch is to be answered now: there are changes, its maximum wait has passed, the records are older than
/// the follower accepts, or they were confirmed after the request. The last
/// condition keeps the age of the records from growing with each relay between the store and the follower. New
/// observations of lost targets are sent at once as well.
///
/// Load pattern: the reader of a domain falls silent, and the records of all its followers become too old together. If
/// the next reader reported its old records while it makes its first call to the store, all others would read the store
/// as well.
bool
response_is_due(const pending_watch& follower, const record_status& records, instant now);

/// How long a call to a new source may take while watches of old records wait for its response.
inline constexpr milliseconds max_renewal_time{ 200 };

/// How long a request for the full list waits while this daemon is receiving its own first one.
inline constexpr milliseconds max_list_wait{ 1000 };

/// How long a request for a list of a higher era than this daemon's waits until this daemon has heard of the era and
/// listed it: a reader begins its list 300 ms after it hears of the era at the latest.
inline constexpr milliseconds max_era_wait{ 500 };

}
