#pragma once

#include "carried/load_path.h"
#include "carried/observation_path.h"
#include "carried/time_histogram.h"

#include "coltsfootlock/coordination/steering/record_cache.h"
#include "coltsfootlock/coordination/steering/record_follower.h"
#include "coltsfootlock/coordination/steering/source_choice.h"
#include "coltsfootlock/coordination/steering/steering_engine.h"
#include "coltsfootlock/transport/http_exchange.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

struct record_counters
{
  std::uint64_t store_lists = 0;
  std::uint64_t store_watches = 0;
  std::uint64_t store_failures = 0;
  std::uint64_t overdue_reads = 0; ///< Calls to the store since the records became too old to follow another daemon.
  std::uint64_t peer_calls = 0;
  std::uint64_t peer_failures = 0;
  std::uint64_t changes = 0;
  std::uint64_t era_lists = 0;                         ///< Complete lists of a higher era than the records before.
  std::uint64_t lower_era_responses = 0;               ///< Refused, since this daemon has heard of a higher era.
  std::map<error_kind, std::uint64_t> unusable_eras{}; ///< Headers of the store that state no era, by reason.
  std::array<std::uint64_t, outage_sign_count> assumed_outages{};

  auto operator<=>(const record_counters&) const = default;
};

/// Makes the calls that the follower plans, to the platform's store or to another daemon, and passes their results to
/// the engine and to the cache that other daemons read.
class record_path
{
public:
  /// `domain`: this daemon's failure domain.
  record_path(std::string domain,
              const endpoint& store,
              const follower_settings& settings,
              std::uint32_t seed,
              source_choice& sources,
              observation_path& observations,
              load_path& loads,
              steering_engine& engine);

  void add_descriptor(std::vector<pollfd>& wanted) const;

  /// Starts a due call and handles a response or a timeout. `ready`: the descriptor is ready.
  void advance(bool ready, instant now);

  /// Ends the call in progress as failed after an unexpected error.
  void abandon_call(instant now);

  /// When `advance` is to be called even if the descriptor is not ready.
  instant next_wakeup() const;

  /// Sets the address of the store for the next call. A call to the previous address that is in progress fails.
  void set_store(const endpoint& store);

  /// Settings that can change while the daemon runs.
  void set_settings(const follower_settings& settings);

  /// Age of the records, for daemons that follow this one; empty before they have been received.
  std::optional<response_age> age(instant now) const;

  /// When this daemon last received a confirmation that its records are current.
  instant renewed_at() const { return renewed_at_; }

  /// True if the last call went to another source a moment ago and may renew old records.
  bool is_renewing(instant now) const;

  /// Callers wait for the first confirmed records.
  void on_callers_waiting() { callers_wait_ = true; }
  bool callers_wait() const { return callers_wait_; }

  /// True if a list is expected: the first one, which the store or another daemon has not failed to provide, or one of
  /// which some pages have been received.
  bool expects_list() const
  {
    return (!follower_.confirmed_at() && follower_.failures() == 0) || follower_.listing_in_progress();
  }

  /// The daemon whose records are followed; empty if this one reads the store.
  std::optional<endpoint> followed() const { return peer_ ? std::optional(peer_->call_address) : std::nullopt; }

  /// The daemon that the last call went to; empty if that was the store.
  const std::optional<fleet_member>& source() const { return peer_; }

  const record_cache& cache() const { return cache_; }
  std::optional<instant> confirmed_at() const { return follower_.confirmed_at(); }
  const std::optional<assumed_outage>& outage() const { return follower_.outage(); }
  const record_counters& counters() const { return counters_; }
  const time_histogram& list_seconds() const { return list_seconds_; }

private:
  /// Delay before a failed store is retried while another daemon can be followed instead.
  static constexpr milliseconds store_retry{ 3000 };

  /// Consecutive failures of the store after which another daemon is followed. A single one may be a lost response.
  static constexpr unsigned failures_before_fallback = 2;

  /// A confirmation that is newer by less than this is the same one, with an age that other daemons have rounded.
  static constexpr milliseconds min_renewal_interval{ 100 };

  http_exchange& exchange() { return peer_ ? peer_exchange_ : store_exchange_; }
  const http_exchange& exchange() const { return peer_ ? peer_exchange_ : store_exchange_; }
  store_condition condition_of_store(instant now) const;
  bool choose_source(instant now);
  record_sender receiver() const;
  void start_call(instant now);
  record_response read_response(const http_answer& response);
  void on_lower_era(const std::string& problem, instant now);
  void on_response(record_response response, instant now);
  void on_peer_failure(const std::string& problem, instant now);
  void on_old_records(milliseconds records_age, instant now);
  void on_assumed_outage(const assumed_outage& outage, instant now);
  void apply(const record_follower::progress& progress, instant now);

  const std::string domain_;
  follower_settings settings_;
  endpoint store_;
  http_exchange store_exchange_;
  http_exchange peer_exchange_;
  std::optional<fleet_member> peer_; ///< The daemon that the last call went to; empty for the store.
  age_tolerance tolerance_ = age_tolerance::usual;
  bool callers_wait_ = false;
  bool reads_overdue_ = false;                   ///< The store is read because the records are overdue.
  instant source_since_;                         ///< Start of the first call to the current source.
  std::optional<instant> members_awaited_until_; ///< No call is made before, unless members are found.
  record_follower follower_;
  record_cache cache_;
  source_choice& sources_;
  observation_path& observations_;
  load_path& loads_;
  std::uint64_t received_loads_ = 0;       ///< Number of the newest load totals received from the current source.
  std::uint64_t received_observation_ = 0; ///< Number of the newest one received from the current source.
  steering_engine& engine_;
  record_call call_;
  instant call_started_;
  instant call_deadline_;
  instant store_retry_at_;
  instant renewed_at_;
  record_counters counters_;
  time_histogram list_seconds_;
};

}
