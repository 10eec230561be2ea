#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "membership.h"
#include "set_transition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Input of the decision to settle on a set, besides the heartbeats.
struct settle_conditions
{
  instant now{};
  instant resumed{};   ///< End of the last pause; missing heartbeats before it do not count as silence of peers.
  duration hold_off{}; ///< For shares.
  duration key_hold_off{};
  std::uint64_t domain_version = 0; ///< Lowest catalogue version that a member of this domain acts on.
};

/// Tracks which daemons share the limits of targets and own idempotency keys while the list and the catalogue change.
/// A set is pending when it is adopted. It is settled once every member of the earlier sets and of this one acts on it,
/// has released its shares, or has been silent for the hold-off.
class entry_sets
{
public:
  entry_sets(vm_id self, std::string domain, duration key_retention);

  /// Returns true if the set is new. Versions are those of the list and of the catalogue.
  bool adopt_members(const std::vector<vm_id>& members, std::uint64_t version, instant now);
  bool adopt_domains(const std::vector<std::string>& domains, std::uint64_t version, instant now);

  /// Discards the sets as after a start of the daemon. Used when a newer record arrives after a time without authority:
  /// other daemons may have settled on sets that this daemon never received, because it was silent for the hold-off.
  void reset_members();
  void reset_domains();

  /// Records the catalogue version that a daemon of another domain reports for its whole domain.
  void on_heartbeat(const heartbeat& message, std::uint64_t own_catalogue_version);

  /// Settles on the newest pending sets that all daemons have agreed on; returns the decisions for the log.
  std::vector<std::string> settle(const membership& peers, const settle_conditions& conditions);

  /// Starts a new ownership epoch: another daemon may have owned the keys while this one had no authority.
  void interrupt_ownership(instant now);

  std::vector<entry_set> spending_sets() const;
  std::vector<entry_set_epoch> ownership(instant now) const;
  bool members_settled() const { return members_.settled().has_value(); }
  bool keys_settled() const;

  /// Digest of the newest set that has been in force for `max_run_duration`: all runs that began under a larger share
  /// of an older set or of an earlier process have ended, so peers may settle on it. 0 without such a set.
  std::uint64_t reported_members_digest(duration max_run_duration, instant now) const;

  /// Members of the settled and of all pending sets.
  std::vector<vm_id> all_members() const;

private:
  using members_transition = set_transition<std::vector<vm_id>>;
  using domains_transition = set_transition<std::vector<std::string>>;

  bool members_agree(std::size_t index, const membership& peers, const settle_conditions& conditions) const;
  bool member_agrees(const vm_id& member,
                     std::size_t index,
                     const membership& peers,
                     const settle_conditions& conditions) const;
  bool domains_agree(std::size_t index, const membership& peers, const settle_conditions& conditions) const;
  void record_members(const std::vector<members_transition::adopted_set>& skipped, instant now);
  void record_domains(const std::vector<domains_transition::adopted_set>& skipped, bool successive, instant now);
  void record_epoch(instant since, entry_set set);

  vm_id self_;
  std::string domain_;
  duration key_retention_;
  members_transition members_;
  domains_transition domains_;
  std::map<std::string, std::uint64_t> reported_versions_;
  std::vector<entry_set_epoch> epochs_;
};

/// Digest of a set of members, as sent in heartbeats.
std::uint64_t
members_digest(const std::vector<vm_id>& members);

}
