#pragma once

#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// Another daemon that waits for news of the records.
struct waiting_follower
{
  std::uint64_t revision = 0; ///< Up to which it knows all changes.
  instant asked_at;
  milliseconds longest_wait{ 0 };

  auto operator<=>(const waiting_follower&) const = default;
};

/// What this daemon has to tell.
struct relayed_records
{
  std::uint64_t revision = 0;
  milliseconds age{ 0 };
  instant renewed_at; ///< When this daemon last learned that its records are current.

  auto operator<=>(const relayed_records&) const = default;
};

/// True if the follower is to be answered now: there are changes, its time is over, the records are older than
/// `oldest` so that it has to look elsewhere, or they were confirmed since it asked. The last keeps the age of records
/// from growing with each daemon on the way from the store.
bool
answer_is_due(const waiting_follower& follower, const relayed_records& records, milliseconds oldest, instant now);

}
