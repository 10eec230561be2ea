#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootlock {

/// Another daemon and the address at which it serves records.
struct fleet_member
{
  std::string id;
  std::string domain;
  endpoint call_address;
  std::uint32_t link_kbps = 0; ///< Rate of its VM's link; 0 if it did not state one.

  auto operator<=>(const fleet_member&) const = default;
};

/// A seed's response to a daemon that registers with it.
struct member_list
{
  std::vector<fleet_member> members; ///< Some members of the daemon's domain, and a few of each other domain.
  std::size_t daemons_in_domain = 0; ///< Number of daemons in the daemon's domain, including itself.

  auto operator<=>(const member_list&) const = default;
};

/// Read the platform's store.
struct read_store
{
  bool overdue = false; ///< The records are old; other daemons are asked again if the store does not answer soon.

  auto operator<=>(const read_store&) const = default;
};

/// How old the records of a source may become before its follower chooses another one.
enum class age_tolerance : std::uint8_t
{
  short_time, ///< For the daemon that takes over from the reader, before the records of the others are too old.
  relay_time, ///< For a relay, before the records of its followers are too old.
  usual,
  unlimited ///< There is no better source.
};

/// Follow another daemon.
struct follow_member
{
  fleet_member member;
  age_tolerance tolerance = age_tolerance::usual;

  auto operator<=>(const follow_member&) const = default;
};

/// Make no call before `until`, or before the members change.
struct await_members
{
  instant until;

  auto operator<=>(const await_members&) const = default;
};

using record_source = std::variant<read_store, follow_member, await_members>;

/// What a daemon knows of the store from its own calls.
struct store_condition
{
  bool failing = false;   ///< The last calls failed, and another daemon may be followed instead.
  bool callable = true;   ///< The store may be called now, after the delays for its failures and rate.
  bool has_list = true;   ///< A list has been received, perhaps of old pages.
  bool relisting = false; ///< The store responded that a new list is needed, which is to come from the store as well.
  bool overdue = false;   ///< The records are older than another daemon's may be.
  bool urgent = false;    ///< Callers wait for the first records that are confirmed.
  bool failed = false;    ///< A call failed a moment ago, so that old records are no reason to read the store again.

  auto operator<=>(const store_condition&) const = default;
};

/// Chooses the source of the platform's records: the store, or another daemon of the domain.
///
/// Load pattern: many daemons watch a store whose calls are expensive and rate-limited. The daemon of each domain with
/// the highest rank (the fastest link, then a hash) reads the store, and the others follow it. This needs no agreement:
/// every response carries the age of its records, so a daemon that follows the wrong one detects outdated records. A
/// daemon that responds late, not at all, or with old records is excluded for a while; if no other daemon is left, the
/// store is read directly.
///
/// Load pattern: all daemons of a large domain start at once and fetch all records from one daemon with a slow link.
/// Beyond `max_followers` daemons, the next ones by rank are relays: they follow the reader, and the others are spread
/// over them. Every daemon follows one of higher rank, so there are no cycles.
///
/// Load pattern: all daemons start at once, or many join, while callers wait. Each begins with the old pages of the
/// store, which are cheap, and asks a seed for members meanwhile. The watch that follows waits for members, and goes to
/// the store only from the daemon with the highest rank of those that are known, or if no seed answers. It waits
/// only briefly if callers do: flows are opened only once the watch has confirmed the list.
///
/// Load pattern: a reader falls silent, or the store refuses it without an answer. The daemon of the next rank takes
/// over early, so that the records of the others do not become so old that removed targets get a grace period.
///
/// Load pattern: several daemons of a domain fall silent at the same time, one after the other in the order of rank. A
/// daemon whose records are overdue reads the store, whether it has asked all of them or not.
///
/// Load pattern: the store is away for all. Records age everywhere at the same time, and no source is better than
/// another. After `min_old_sources` sources in a row with old records and a call of its own to the store that failed, a
/// daemon assumes such an outage: the members
/// with the highest ranks go on reading the store, and the others stay with one of them. They still read the store in
/// turn, `outage_probe_interval` apart, since they may all have been cut off or refused alone.
class source_choice
{
public:
  /// A member that was not reported for this long is removed; three times `discovery_interval`.
  static constexpr milliseconds member_lifetime{ 15000 };

  /// How often a daemon registers with a seed and requests the members of its domain.
  static constexpr milliseconds discovery_interval{ 5000 };

  /// The interval until another member is known.
  static constexpr milliseconds initial_discovery_interval{ 1000 };

  /// A member that failed is excluded for this time, which doubles with each failure up to `max_exclusion`.
  static constexpr milliseconds initial_exclusion{ 4000 };
  static constexpr milliseconds max_exclusion{ 32000 };

  /// `link_kbps`: rate of this VM's link.
  explicit source_choice(std::string self, std::string domain, std::uint32_t link_kbps = 0);

  void on_member(const fleet_member& member, instant now);

  /// Minimum number of members of its own domain in a daemon's member list, highest rank first: enough to find another
  /// source when some fail. In a large domain the list contains all relays.
  static constexpr std::size_t min_listed_members = 8;

  /// Size of a domain beyond which it uses relays. On a link of 10 Mbit/s, lists of 1,000 targets (50 kB) reach this
  /// many followers within 1.3 s.
  static constexpr std::size_t max_followers = 32;

  /// Number of relays of a domain, including the reader: the square root of its number of daemons, so that the reader
  /// and each relay have about the same number of followers.
  static std::size_t relay_count(std::size_t daemons_in_domain);

  /// Members of each other domain in a member list, for when the daemon's own domain is cut off from the store.
  static constexpr std::size_t members_per_other_domain = 2;

  /// The response to a daemon of `domain` that registered; `on_member` is called for it before.
  member_list member_list_for(const std::string& domain, instant now) const;

  /// The first watch waits this long for a seed's response.
  static constexpr milliseconds max_member_wait{ 400 };

  /// The same if callers wait: several times a seed's usual delay.
  static constexpr milliseconds max_urgent_member_wait{ 30 };

  /// A seed that has not answered a daemon's first request by then may still be starting; the next one is asked.
  static constexpr milliseconds first_seed_timeout{ 200 };

  /// Delay before the next seed is asked if none has answered yet.
  static constexpr milliseconds seed_retry_delay{ 50 };

  /// Sources in a row with old records after which an outage of the store is assumed. With two, a reader that is cut
  /// off alone and its successor, which has not noticed yet, would do.
  static constexpr unsigned min_old_sources = 3;

  /// Members of each domain that read the store during an outage, by rank.
  static constexpr std::size_t outage_readers = 2;

  /// Mean time between the reads of a domain's other daemons during an outage, and the longest time between the reads
  /// of one.
  static constexpr milliseconds outage_probe_interval{ 50 };
  static constexpr milliseconds max_outage_probe_delay{ 3000 };

  /// The source of the next call.
  record_source choose(const store_condition& store, instant now);

  /// The daemon can reach seeds, so that its first watch waits for members.
  void expect_members(instant now);

  /// Handles a seed's response.
  void on_member_list(const member_list& response, instant now);

  /// Number of daemons in the own domain, including this one, as last reported or observed.
  std::size_t daemons_in_domain(instant now) const;

  /// True if the domain uses relays.
  bool domain_is_large(instant now) const { return daemons_in_domain(now) > max_followers; }

  /// The member to follow; empty if this daemon is to read the store.
  std::optional<fleet_member> peer(instant now) const;

  /// The best member regardless of this daemon's rank, used when the store does not respond: of the own domain, or else
  /// of another one.
  std::optional<fleet_member> fallback(instant now) const;

  /// Members of other domains, `members_per_other_domain` of each, those with the highest ranks first.
  std::vector<fleet_member> contacts(instant now) const;

  /// The member's records are current.
  void on_success(const std::string& id, instant now);

  /// The member did not respond.
  void on_failure(const std::string& id, instant now);

  /// The member's records are too old. `store_failed`: a call of this daemon to the store failed a moment ago.
  void on_old_records(const std::string& id, bool store_failed, instant now);

  /// The records were confirmed by the store.
  void on_store_success(instant now);

  /// True while an outage of the store for all daemons is assumed.
  bool in_outage() const { return next_probe_.has_value(); }

  /// True soon after the start, until the first member list has been received.
  bool awaits_first_list(instant now) const
  {
    return members_awaited_since_ && now < *members_awaited_since_ + max_member_wait + initial_discovery_interval;
  }

  /// True if the next registration with a seed is due.
  bool discovery_due(instant now) const { return now >= next_discovery_; }
  void on_discovery_started(instant now);

  /// The seed did not answer.
  void on_discovery_failed(instant now);

private:
  struct source_rank
  {
    std::uint32_t link_kbps = 0;
    std::uint64_t hash = 0;

    auto operator<=>(const source_rank&) const = default;
  };

  struct member_state
  {
    fleet_member member;
    instant last_seen;
    source_rank rank; ///< The member with the highest rank of a domain reads the store.
    int failures = 0;
    instant excluded_until;
  };

  std::size_t members_seen_in(const std::string& domain, instant now) const;
  const member_state* best_member(bool own_domain, instant now) const;
  std::vector<const member_state*> by_rank(instant now) const;
  const member_state* relay(const member_state& reader, instant now) const;
  bool is_successor(instant now) const;
  bool is_relay(instant now) const;
  record_source choose_during_outage(const store_condition& store, instant now);
  duration probe_delay(double share, instant now) const;
  void end_outage(const std::string& source, instant now);

  const std::string self_;
  const std::string domain_;
  const source_rank self_rank_;
  std::map<std::string, member_state> members_;
  std::size_t reported_daemons_ = 1;
  instant next_discovery_;
  std::optional<instant> members_awaited_since_; ///< Empty once the first member list has been received.
  unsigned old_sources_ = 0;                     ///< Sources in a row with old records.
  std::optional<instant> next_probe_;            ///< Of the store, during an outage.
  bool asks_best_ = true;         ///< During an outage, the best member and the others are asked in turn.
  std::string recovery_source_;   ///< The source that ended the last outage; empty for the store.
  instant recovery_source_until_; ///< Until then it is preferred to the sources that had old records.
};

}
