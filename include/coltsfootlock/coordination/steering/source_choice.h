#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Another daemon as this one knows it.
struct fleet_member
{
  std::string id;
  std::string domain;
  endpoint call_address;

  auto operator<=>(const fleet_member&) const = default;
};

/// What a seed tells a daemon that introduces itself.
struct member_list
{
  std::vector<fleet_member> members; ///< Some of the daemon's domain, and contacts in the others.
  std::size_t daemons_in_domain = 0; ///< Of the daemon's domain, the daemon included.

  auto operator<=>(const member_list&) const = default;
};

/// Chooses where a daemon reads the platform's records: from the store, or from another daemon of its domain.
///
/// Load pattern: many daemons watch a store whose calls are dear and limited. One daemon of each domain, the first by a
/// hash of the names, reads the store, and the others follow it. This needs no agreement: a daemon that follows the
/// wrong one sees only how old the answers are. Whoever answers late, not at all, or with old records is left out for a
/// while, and without anybody else the daemon reads the store itself.
///
/// Load pattern: a large domain starts at once, and everybody takes all records from one daemon with a slow link.
/// Beyond `most_followers` the daemons that come next by rank are relays: they follow the reader, and the others spread
/// over them. Everybody follows a daemon of a higher rank, so there are no circles.
class source_choice
{
public:
  /// A member that has not been heard of for this long is forgotten; three intervals of `introduction_interval`.
  static constexpr milliseconds member_lifetime{ 15000 };

  /// How often a daemon introduces itself to a seed and asks for the members of its domain.
  static constexpr milliseconds discovery_interval{ 5000 };

  /// The same until it knows another member.
  static constexpr milliseconds initial_discovery_interval{ 1000 };

  /// A member that failed is left out for this time, doubling up to the longest.
  static constexpr milliseconds initial_exclusion{ 4000 };
  static constexpr milliseconds max_exclusion{ 32000 };

  source_choice(std::string self, std::string domain);

  void on_member(const fleet_member& member, instant now);

  /// Members of its own domain that a daemon is told about at least, the first by rank: enough to find another source
  /// when some fail. In a large domain it is told about all relays.
  static constexpr std::size_t min_listed_members = 8;

  /// Followers of one daemon before there are relays: on a link of 10 Mbit/s, lists of 1,000 targets (50 kB) reach them
  /// within 1.3 s.
  static constexpr std::size_t max_followers = 32;

  /// The reader and the relays of a domain: the square root of its daemons, so that the reader and each relay have
  /// about as many followers.
  static std::size_t relay_count(std::size_t daemons_in_domain);

  /// Members of other domains that a daemon is told about, for when its own domain is cut off from the store.
  static constexpr std::size_t members_per_other_domain = 2;

  /// The answer to a daemon of this domain that introduced itself with `on_member`.
  member_list member_list_for(const std::string& domain, instant now) const;

  /// The answer of a seed.
  void on_member_list(const member_list& response, instant now);

  /// Daemons of the own domain, this one included, as far as this one was told or heard.
  std::size_t daemons_in_domain(instant now) const;

  /// True if the domain has relays.
  bool domain_is_large(instant now) const { return daemons_in_domain(now) > max_followers; }

  /// The member to read from; empty if this daemon is to read the store.
  std::optional<fleet_member> peer(instant now) const;

  /// The best member whatever this daemon's own rank, for a daemon that the store does not answer: of its own domain,
  /// or else of another one.
  std::optional<fleet_member> fallback(instant now) const;

  void on_success(const std::string& id);
  void on_failure(const std::string& id, instant now);

  /// True if an introduction is due.
  bool discovery_due(instant now) const { return now >= next_discovery_; }
  void on_discovery_started(instant now);

private:
  struct member_state
  {
    fleet_member member;
    instant last_seen;
    std::uint64_t rank = 0; ///< The highest of a domain reads the store.
    int failures = 0;
    instant excluded_until;
  };

  std::size_t members_seen_in(const std::string& domain, instant now) const;
  const member_state* best_member(bool own_domain, instant now) const;
  std::vector<const member_state*> by_rank(instant now) const;
  const member_state* relay(const member_state& reader, instant now) const;

  const std::string self_;
  const std::string domain_;
  const std::uint64_t self_rank_;
  std::map<std::string, member_state> members_;
  std::size_t reported_daemons_ = 1;
  instant next_discovery_;
};

}
