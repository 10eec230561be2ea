#pragma once

#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace coltsfootlock {

/// What a daemon takes for an outage of the store, after which records of living targets may be missing for a while.
enum class outage_sign : std::uint8_t
{
  calls_failed,       ///< The daemon's own calls to the store failed.
  records_gap,        ///< The daemon's records were not confirmed for too long.
  new_era,            ///< The store has come back from an older copy.
  reported_by_source, ///< The daemon whose records are followed assumes one.
};

inline constexpr std::size_t outage_sign_count = 4;

const char*
to_string(outage_sign value);

/// An outage of the store that a daemon assumes, and the grace period after it: until its end, removed targets and
/// withdrawals of domains may be missing because of the outage.
struct assumed_outage
{
  outage_sign sign = outage_sign::calls_failed;
  instant since;   ///< When the store last served, as far as the daemon knows.
  instant noticed; ///< When the grace period began.
  instant grace_end;

  auto operator<=>(const assumed_outage&) const = default;
};

}
