#pragma once

#include "coltsfootlock/state/record_change.h"
#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootlock {

/// Asks the platform's store, or a daemon that follows it, for the records whose keys follow `after`.
struct list_call
{
  std::string after; ///< Empty for the first page.

  auto operator<=>(const list_call&) const = default;
};

/// Asks for the changes after a revision; the answer waits for the first one.
struct watch_call
{
  std::uint64_t after = 0;
  milliseconds wait{ 0 };

  auto operator<=>(const watch_call&) const = default;
};

using record_call = std::variant<list_call, watch_call>;

/// How far the sender of an answer is behind the store; zero if it is the store itself.
struct response_age
{
  milliseconds records{ 0 };     ///< Time since the sender's records were known to be complete.
  milliseconds outage_grace_left{ 0 }; ///< Time for which missing records may be a consequence of an outage of the store.

  auto operator<=>(const response_age&) const = default;
};

struct record_page
{
  std::vector<record_change> records;
  std::uint64_t store_revision = 0;
  std::string last_key; ///< The next page follows this key.
  bool more = false;
  response_age age;

  bool operator==(const record_page&) const = default;
};

struct record_events
{
  std::vector<record_change> changes; ///< Empty if nothing changed while the store waited.
  std::uint64_t store_revision = 0;
  response_age age;

  bool operator==(const record_events&) const = default;
};

/// The sender no longer has the changes that a watch asked for.
struct history_unavailable
{
  auto operator<=>(const history_unavailable&) const = default;
};

/// No usable answer came.
struct call_failed
{
  error why;

  auto operator<=>(const call_failed&) const = default;
};

using record_response = std::variant<record_page, record_events, history_unavailable, call_failed>;

}
