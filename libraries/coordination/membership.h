#pragma once

#include "coltsfootlock/coordination/timing.h"
#include "coltsfootlock/state/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// State of one peer as reported by its heartbeats.
struct peer_record
{
  heartbeat last_heartbeat;
  instant last_received{};
  instant alive_until{};
  std::optional<instant> list_evidence;      ///< Last heartbeat whose VM list was not newer than the local one.
  std::optional<instant> catalogue_evidence; ///< Last heartbeat whose catalogue was not newer than the local one.
  std::vector<std::uint64_t> previous_boot_ids;
};

/// Records received heartbeats and derives which daemons are alive.
class membership
{
public:
  explicit membership(timing times);

  /// Records a heartbeat. Returns false if it is a duplicate, late, or from an earlier boot.
  bool on_heartbeat(const heartbeat& message, duration suspect_after, instant now);

  /// Records that the peer had no newer list or catalogue than this daemon when it sent its last heartbeat.
  void record_evidence(const vm_id& peer, bool list, bool catalogue, instant now);

  /// Called after a pause that lasted until `now`: peers that were alive at `before` stay alive for `suspect_after`.
  void resume(instant before, duration suspect_after, instant now);

  /// Removes peers that are not in `kept` and have been silent for a minute.
  void remove_silent(const std::vector<vm_id>& kept, instant now);

  const peer_record* find(const vm_id& peer) const;

  /// Whether a heartbeat of the peer arrived within the suspicion time.
  bool has_recent_heartbeat(const vm_id& peer, instant now) const;

  /// Whether the VM has a recent heartbeat or is reported alive by a member of its domain that has one.
  bool alive(const entry_vm& vm, const std::string& own_domain, instant now) const;

  /// Time of the latest heartbeat of any daemon of the domain.
  std::optional<instant> domain_last_received(const std::string& domain) const;

  const std::map<vm_id, peer_record>& peers() const;

private:
  timing times_;
  std::map<vm_id, peer_record> peers_;
};

}
