#pragma once

#include "coltsfootlock/coordination/steering/assumed_outage.h"
#include "coltsfootlock/state/record_call.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace coltsfootlock {

/// Timing and rate limits for reading the platform's records.
struct follower_settings
{
  /// How long the store may hold a watch without changes. A silent connection is detected after this time plus
  /// `response_slack`; the sum is below the time within which a daemon's records have to be current again.
  milliseconds watch_wait{ 1200 };

  /// How long a response may take beyond the wait.
  milliseconds response_slack{ 1200 };

  /// The same for calls to another daemon, which is nearby and sends changes at once.
  milliseconds peer_wait{ 600 };
  milliseconds peer_slack{ 400 };

  /// A follower leaves a source whose records are older than this. At a daemon that reads the store itself the age is
  /// at most `watch_wait`; each daemon on the way adds a round trip.
  milliseconds max_peer_record_age{ 1750 };

  /// The same for relays, so that their followers find renewed records, and for the daemon that takes over from the
  /// reader: above the interval between the reader's confirmations.
  milliseconds max_relay_record_age{ 1600 };
  milliseconds max_successor_record_age{ 1500 };

  /// How much later than at these ages a source may report that its records are old. A source that has not answered by
  /// then is silent. Longer than the interval at which a source looks at the ages (100 ms).
  milliseconds age_report_time{ 150 };

  /// Records that are older than this are read from the store, whichever sources have not been asked yet. With
  /// `overdue_read_timeout` it bounds the age of the records over all sources together, below the shortest time in
  /// which a change has to be in force (3 s).
  milliseconds max_followed_record_age{ 2200 };

  /// Timeout of that read. The store answers in some milliseconds; if it does not, other daemons are asked again.
  milliseconds overdue_read_timeout{ 400 };

  /// Timeout for a page of a list.
  milliseconds list_timeout{ 1500 };

  /// Token bucket for calls to the store: sustained rate and burst size. Faster changes are collected until the next
  /// call.
  double calls_per_second = 2.0;
  double call_burst = 4.0;

  /// Delays after failed calls: none after the first failure, then exponential backoff between these limits.
  milliseconds initial_retry_delay{ 100 };
  milliseconds max_retry_delay{ 800 };

  /// A new list because of a new era of the store begins after a random time of up to this, since all readers learn of
  /// the era at the same time.
  milliseconds max_era_list_delay{ 300 };

  /// For this long after an outage of the store, a missing record may be a consequence of the outage.
  milliseconds outage_grace{ 2500 };

  /// If calls to the store failed for this long, from the first failure to the next response, that was such an outage.
  /// The heartbeat interval of the targets: in a shorter time no target misses enough heartbeats for its record to
  /// expire, which takes three.
  milliseconds max_interruption{ 770 };

  /// If the records were not confirmed for longer than this, the daemon may have missed such an outage or a partition
  /// of its domain, unless another daemon of the domain missed nothing. Above the usual interval between confirmations,
  /// which is `watch_wait`, and not below two heartbeats of the targets, before which no record expires.
  milliseconds max_record_gap{ 1700 };

  auto operator<=>(const follower_settings&) const = default;
};

/// Who responds to a call.
enum class record_sender : std::uint8_t
{
  store,
  own_domain, ///< A daemon of the own domain.
  other_domain
};

/// Follows the platform's records: a full list first, then changes, and a new list if the store no longer has the
/// changes that follow the last known position.
///
/// Load patterns: a store that is down or slow, refuses this daemon, loses responses, or discards its history; many
/// changes in a row while many daemons watch.
///
/// Load pattern: the store cuts a watch that waits, refuses a call or two, or limits the rate of calls, as on any day.
/// A failed call is followed by one that does not wait, which shows whether the store serves, and only an interruption
/// that can have cost targets their records is an outage.
///
/// Load pattern: the store forgets its history, as on any day, while targets leave. The list that follows shows which
/// are gone; that the changes are not available is no sign that the store was away.
///
/// Load pattern: a daemon that was cut off for seconds while large catalogues came in quick succession asks for all
/// changes since, which are too large for one response. It lists the records instead, of which there is one catalogue.
///
/// Load pattern: a reader falls silent, and another daemon takes over with old records that many others wait for. A
/// watch of old records does not wait for the next change, nor does the first watch of another source, whose records
/// may have been confirmed since.
///
/// Load pattern: the store comes back from an older copy, perhaps twice in a row, and begins an era each time. Its
/// revisions go back and are reused, so that a watch after a known revision may be answered as if nothing had happened.
/// A response of a higher era than the call asked for leads to a new list, and a response of a lower one is refused.
/// Pages of different eras are not combined.
///
/// Load pattern: hundreds of daemons start together and list thousands of records, page by page, from a store whose
/// calls are expensive. The first list of a process may consist of old pages, each of another age. The watch that
/// follows starts at the oldest of them and does not wait, so that the records are current one round trip later. A
/// daemon that knows newer records than such a page lists current ones: an old page may contain records that have been
/// removed since.
class record_follower
{
public:
  /// `seed` randomizes the retry delays so that daemons do not retry at the same time.
  record_follower(const follower_settings& settings, std::uint32_t seed);

  /// Settings that can change while the daemon runs.
  void set_settings(const follower_settings& settings) { settings_ = settings; }

  struct planned_call
  {
    record_call call;
    milliseconds timeout{ 0 };
  };

  /// The call to `receiver` to make now; empty while a call is in progress or before `next_wakeup`. `patient`: the
  /// receiver's records are old, and a watch waits for their renewal.
  std::optional<planned_call> next_call(record_sender receiver, bool patient, instant now);

  instant next_wakeup() const { return next_wakeup_; }

  struct progress
  {
    std::vector<record_change> changes;
    bool snapshot_begins = false;                    ///< Before the changes.
    std::optional<store_position> snapshot_complete; ///< After the changes: position of the complete list.
    std::optional<std::uint64_t> relists_for_era;    ///< The response was of this higher era; a new list is needed.
    bool era_entered = false;                        ///< The complete list is of a higher era than the records before.
    bool lost = false;                               ///< The store was reachable before this response.
    bool regained = false;                           ///< The store was unreachable before this response.
    std::optional<assumed_outage> outage;            ///< Set if a grace period begins with this response.
  };

  /// Handles the response to the last call.
  progress on_response(record_response response, instant now);

  /// The last call, to another daemon, had no usable response. The next call can follow at once.
  void on_peer_failure();

  /// The next call goes to another source than the last one.
  void on_source_changed() { source_changed_ = true; }

  /// When the records were last complete and current; empty until the first list is complete. The time that a response
  /// takes beyond the wait of its call does not count, since it was on its way.
  std::optional<instant> confirmed_at() const { return confirmed_at_; }

  /// True if the response to the last call is a list that is older than the known records. Removals that are known
  /// could not be told from records that are missing in it.
  bool goes_back(const record_response& response) const;

  /// True if the response is of a lower era than this daemon has heard of. It is never accepted, however new its
  /// revision.
  bool is_of_lower_era(const record_response& response) const;

  /// The highest era that this daemon has heard of. Responses of the store that state none belong to it.
  std::uint64_t era() const { return era_; }

  /// An old page of the store was of a lower era: the list continues with current ones.
  void avoid_old_pages() { avoids_old_pages_ = true; }

  /// True if a response of the store does not fit the last call: a page that is not behind the previous one, or changes
  /// that a watch did not ask for. It is a late copy of the response to an earlier call.
  bool answers_earlier_call(const record_response& response) const;

  /// True if the store responded that it no longer has the changes, and the new list is not complete.
  bool relists_from_store() const { return relists_from_store_ && failures_ == 0; }

  /// True while some pages of a list have been received and more follow. A change of the source restarts the list.
  bool listing_in_progress() const { return !list_after_.empty() && failures_ == 0; }

  /// Until then a missing record may be a consequence of an outage of the store or of a partition.
  instant outage_grace_end() const { return outage_ ? outage_->grace_end : instant{}; }

  /// The last outage of the store that was assumed.
  const std::optional<assumed_outage>& outage() const { return outage_; }

  /// How much earlier than at `confirmed_at` the store last served this daemon's domain, as far as it knows: above zero
  /// if the records come from another domain.
  milliseconds domain_lag() const;

  /// Failed calls to the store since its last response.
  unsigned failures() const { return failures_; }

  /// True if the last call to the store succeeded.
  bool store_reachable() const { return failures_ == 0 && confirmed_at_.has_value(); }

  const store_position& position() const { return position_; }

private:
  /// The lag of a daemon that does not know when the store served its domain.
  static constexpr milliseconds unknown_domain_lag = std::chrono::hours(24);

  progress on(record_page page, instant now);
  progress on(record_events events, instant now);
  progress on(const history_unavailable& response, instant now);
  progress on(const call_failed& response, instant now);
  void list_anew(progress& result, std::uint64_t era, instant now);
  void on_call_success(progress& result, const response_age& age, instant now);
  bool was_interrupted(instant now) const;
  bool missed_an_outage(const response_age& age, instant now) const;
  void assume_outage(progress& result, outage_sign sign, instant since, instant grace_end, instant now);
  void consume_call_budget(instant now);
  void confirm(const response_age& age, instant now);
  milliseconds store_wait(instant now) const;
  milliseconds peer_wait(bool patient, instant now) const;

  follower_settings settings_;
  std::minstd_rand random_;
  bool calling_ = false;
  bool source_changed_ = false;
  record_sender sender_ = record_sender::store;
  bool listing_ = true;
  bool relists_from_store_ = false;
  bool avoids_old_pages_ = false;
  bool list_is_old_ = false; ///< The pages of the current or last list may be old.
  std::string list_after_;
  store_position list_position_; ///< Of the oldest page of the list.
  store_position position_;
  std::uint64_t era_ = 0;
  unsigned failures_ = 0;
  std::optional<instant> interrupted_since_; ///< When the store should have answered the first of the failed calls.
  std::optional<instant> served_at_;         ///< When the store last served this daemon, or another one of its domain.
  double calls_left_;
  instant calls_counted_;
  instant next_wakeup_;
  std::optional<assumed_outage> outage_;
  std::optional<instant> confirmed_at_;
  instant latest_sending_; ///< When the response to the current call should have been sent at the latest.
};

}
