#pragma once

#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// Another daemon that waits for news of the records.
struct pending_watch
{
  std::uint64_t revision = 0; ///< Up to which it knows all changes.
  instant requested_at;
  milliseconds max_wait{ 0 };

  auto operator<=>(const pending_watch&) const = default;
};

/// What this daemon has to tell.
struct record_status
{
  std::uint64_t revision = 0;
  milliseconds age{ 0 };
  instant renewed_at; ///< When this daemon last learned that its records are current.

  auto operator<=>(const record_status&) const = default;
};

/// True if the follower is to be answered now: there are changes, its time is over, the records are older than
/// `oldest` so that it has to look elsewhere, or they were confirmed since it asked. The last keeps the age of records
/// from growing with each daemon on the way from the store.
bool
response_is_due(const pending_watch& follower, const record_status& records, milliseconds max_age, instant now);

}
