#pragma once

#include "coltsfootlock/coordination/steering/record_follower.h"
#include "coltsfootlock/coordination/steering/source_choice.h"

#include <optional>

namespace coltsfootlock {

/// The age of its records at which a source that is followed is to be left.
milliseconds
max_accepted_age(const follower_settings& settings, age_tolerance tolerance);

/// How long the daemon that is followed may keep its follower waiting: until its records are renewed or reported to be
/// old, and, if the follower's records are old already, until they are to be read from the store. There is no limit if
/// the store cannot be read.
///
/// Load pattern: several sources fall silent at the same time. Without a limit over all of them, the records would age
/// by the timeout of a call with each source that is asked in vain.
///
/// `confirmed_at`: of the follower's records. `store_failed`: a call of the follower to the store failed a moment ago.
instant
latest_peer_response(const follower_settings& settings,
                     age_tolerance tolerance,
                     std::optional<instant> confirmed_at,
                     bool store_failed,
                     instant now);

}
