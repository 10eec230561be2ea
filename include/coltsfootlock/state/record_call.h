#pragma once

#include "coltsfootlock/state/load_totals.h"
#include "coltsfootlock/state/record_change.h"
#include "coltsfootlock/state/store_position.h"
#include "coltsfootlock/state/target_observation.h"
#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootlock {

/// Requests the records whose keys follow `after` from the platform's store or from a daemon that follows it.
struct list_call
{
  std::string after; ///< Empty for the first page.
  /// True if the page may be some seconds old, which the store answers at a lower price.
  bool may_be_old = false;
  std::uint64_t era = 0; ///< The highest era of the store that the caller knows; a list of a lower one is of no use.

  auto operator<=>(const list_call&) const = default;
};

/// Requests the changes after a position. The response is delayed until the first one, for at most `wait`.
struct watch_call
{
  store_position after;
  milliseconds wait{ 0 };

  auto operator<=>(const watch_call&) const = default;
};

using record_call = std::variant<list_call, watch_call>;

/// How far the sender of a response is behind the store; zero for the store itself.
struct response_age
{
  milliseconds records{ 0 }; ///< Time since the sender's records were last known to be complete.
  /// Time for which missing records may still be a consequence of an outage of the store.
  milliseconds outage_grace_left{ 0 };
  /// How much earlier the store last served the sender's domain; above zero if the records come from another domain.
  milliseconds domain_lag{ 0 };

  auto operator<=>(const response_age&) const = default;
};

struct record_page
{
  std::vector<record_change> records;
  store_position position; ///< Of the store.
  std::string last_key;    ///< The next page follows this key.
  bool more = false;
  response_age age;
  observation_list observations{}; ///< Empty if the sender is the store.

  bool operator==(const record_page&) const = default;
};

struct record_events
{
  std::vector<record_change> changes; ///< Empty if nothing changed during the wait.
  store_position position;            ///< Of the store.
  response_age age;
  observation_list observations{};    ///< Empty if the sender is the store.
  std::optional<load_totals> loads{}; ///< Empty if the sender is the store, or has none that the follower lacks.

  bool operator==(const record_events&) const = default;
};

/// The sender no longer has the changes that a watch requested.
struct history_unavailable
{
  std::optional<std::uint64_t> era; ///< Of the sender; empty if it states none.

  auto operator<=>(const history_unavailable&) const = default;
};

/// The call failed or its response was not usable.
struct call_failed
{
  error why;

  auto operator<=>(const call_failed&) const = default;
};

using record_response = std::variant<record_page, record_events, history_unavailable, call_failed>;

}
