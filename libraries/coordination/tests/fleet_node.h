#pragma once

#include "coltsfootlock/coordination/request_router.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootlock {

/// One daemon of the simulated fleet: a request router and a model of the control thread that produces its views.
struct fleet_node
{
  struct adopted_set
  {
    instant at{};
    entry_set set;
    std::size_t list_version = 0;
    bool direct = false; ///< Directly follows the previous list and differs only in the domains in service.
  };

  vm_id id;
  std::string domain;
  std::uint64_t boot_id = 0;
  bool up = true;
  bool settled = true;
  instant paused_until{};
  instant spend_from{};
  std::size_t list_version = 0;
  std::uint64_t sequence = 0;
  std::vector<adopted_set> sets; ///< The settled one first, then the pending ones.
  std::vector<entry_set_epoch> ownership;
  std::map<vm_id, instant> last_received;
  /// Excludes heartbeats of peers with a newer list, which may already have settled without this daemon.
  std::map<vm_id, instant> last_received_current;
  std::map<vm_id, entry_set> peer_sets; ///< Newest set that each peer has reported in its heartbeats.
  std::map<vm_id, std::size_t> peer_versions;
  std::map<vm_id, std::vector<group_capacity>> peer_capacity;
  std::map<vm_id, target_view> targets;
  std::unique_ptr<traffic_counters> counters;
  std::unique_ptr<request_router> router;

  /// The newest set whose share no run of an older set exceeds any more, with its list version.
  std::pair<entry_set, std::size_t> reported(instant now, duration max_run_duration) const
  {
    if (now - sets.back().at >= max_run_duration || sets.size() == 1) {
      return { sets.back().set, list_version };
    }
    const auto older = std::find_if(
      sets.rbegin(), sets.rend(), [&](const adopted_set& candidate) { return now - candidate.at >= max_run_duration; });
    const adopted_set& found = older == sets.rend() ? sets.front() : *older;
    return { found.set, found.list_version };
  }

  bool silent_for_hold_off(const vm_id& peer, instant since, instant now, duration hold_off) const
  {
    const auto last = last_received.find(peer);
    const instant start = last == last_received.end() ? since : std::max(since, last->second);
    return now - start >= hold_off;
  }

  /// Whether a peer can no longer act under the older sets.
  bool released(const vm_id& peer, const std::string& peer_domain, instant now, duration hold_off) const
  {
    const adopted_set& newest = sets.back();
    const auto known = peer_sets.find(peer);
    const auto version = peer_versions.find(peer);
    // An equal set of an older list is no evidence: the peer may have settled on another one since.
    if (known != peer_sets.end() && version->second >= newest.list_version) {
      const bool same =
        peer_domain == domain ? known->second == newest.set : known->second.key_domains == newest.set.key_domains;
      if (same) {
        return true;
      }
    }
    return silent_for_hold_off(peer, newest.at, now, hold_off);
  }
};

}
