#pragma once

#include "coltsfootlock/state/record_call.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace coltsfootlock {

/// When a daemon reads the platform's store, and what.
struct follower_settings
{
  /// How long the store may hold a watch without changes. A connection that fell silent is noticed after this time and
  /// `answer_slack`; together they stay below the time after which the daemon's knowledge has to be right again.
  milliseconds watch_wait{ 1200 };

  /// How long an answer may take beyond the wait.
  milliseconds response_slack{ 1200 };

  /// The same for calls to another daemon, which is near and tells its changes at once.
  milliseconds peer_wait{ 600 };
  milliseconds peer_slack{ 400 };

  /// Records of another daemon that are older than this are not relied on: the longest age at a daemon that reads the
  /// store itself is `watch_wait`, and `peer_wait` and two round trips come on top. Below the shortest time in which a
  /// change has to be in force (3 s), so that there is time to read the store instead.
  milliseconds max_peer_record_age{ 2200 };

  /// How long a page of a list may take.
  milliseconds list_timeout{ 1500 };

  /// Calls a second of this daemon in the long run, and calls that it may make at once. Changes that come faster gather
  /// until the next call.
  double calls_per_second = 2.0;
  double call_burst = 4.0;

  /// Pauses after failed calls: none after the first, then doubling between these.
  milliseconds initial_retry_delay{ 100 };
  milliseconds max_retry_delay{ 800 };

  /// Changes may be the consequence of an outage of the store until this time after it.
  milliseconds outage_grace{ 2500 };

  auto operator<=>(const follower_settings&) const = default;
};

/// Follows the platform's records: a full list first, then changes; a new list if the store forgot its history.
///
/// Load patterns: a store that is down, slow, refuses this daemon, loses answers, or forgets; many changes in a row
/// while many daemons watch.
class record_follower
{
public:
  /// `seed` spreads the retries of several daemons.
  record_follower(const follower_settings& settings, std::uint32_t seed);

  struct planned_call
  {
    record_call call;
    milliseconds timeout{ 0 };
  };

  /// The call to make now; empty while one is under way or while the daemon waits until `wakes_at`. `from_peer`: it
  /// goes to another daemon instead of the store.
  std::optional<planned_call> next_call(bool from_peer, instant now);

  instant next_wakeup() const { return next_wakeup_; }

  struct progress
  {
    std::vector<record_change> changes;
    bool snapshot_begins = false;                   ///< Before the changes.
    std::optional<std::uint64_t> snapshot_complete; ///< After the changes: revision of the complete list.
    bool lost = false;                              ///< The store was in touch before this answer.
    bool regained = false;                          ///< The store was out of touch before this answer.
  };

  /// The answer to the last call.
  progress on_response(record_response response, instant now);

  /// The last call, which went to another daemon, had no usable answer: another one can follow at once.
  void on_peer_failure();

  /// When the daemon last knew everything; empty until the first list is complete.
  std::optional<instant> confirmed_at() const { return confirmed_at_; }

  /// Pages of a list are known and others come; with another source the list begins anew.
  bool listing_in_progress() const { return !list_after_.empty() && failures_ == 0; }

  /// Until when a missing record may be a consequence of an outage.
  instant outage_grace_end() const { return outage_grace_end_; }

  /// Failed calls to the store since the last answer.
  unsigned failures() const { return failures_; }

  /// The last call to the store was answered.
  bool store_reachable() const { return failures_ == 0 && confirmed_at_.has_value(); }

  std::uint64_t revision() const { return revision_; }

private:
  progress on(record_page page, instant now);
  progress on(record_events events, instant now);
  progress on(const history_unavailable& response, instant now);
  progress on(const call_failed& response, instant now);
  void on_success_of_call(progress& result, const response_age& age, instant now);
  void consume_call_budget(instant now);
  void confirm(instant at);

  follower_settings settings_;
  std::minstd_rand random_;
  bool calling_ = false;
  bool from_peer_ = false;
  bool listing_ = true;
  std::string list_after_;
  std::uint64_t list_revision_ = 0;
  std::uint64_t revision_ = 0;
  unsigned failures_ = 0;
  double calls_left_;
  instant calls_counted_;
  instant next_wakeup_;
  instant outage_grace_end_;
  std::optional<instant> confirmed_at_;
};

}
