#pragma once

#include "coltsfootlock/coordination/timing.h"
#include "coltsfootlock/state/peer_message.h"
#include "membership.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Estimated size of a sealed heartbeat on the wire, in bytes.
std::size_t
heartbeat_bytes(const heartbeat& message);

/// Schedules heartbeats within a byte budget and selects their receivers in other domains.
class heartbeat_schedule
{
public:
  heartbeat_schedule(vm_id self, std::string domain, timing times);

  bool due(instant now) const;

  /// Other domains are included in every second round: they account for most bytes and tolerate later suspicion.
  bool round_includes_other_domains() const;

  /// Selects two contacts in each other domain, and the daemons that selected this one as their contact.
  std::vector<entry_vm> contacts(const std::vector<entry_vm>& entries, const membership& peers, instant now);

  /// Called after a round was sent; schedules the next one within the byte budget.
  void on_round_sent(std::size_t bytes, instant now);

  /// Called after heartbeats were sent outside a round; delays the next round by their share of the byte budget.
  void on_extra_heartbeats_sent(std::size_t bytes);

  /// Silence after which a peer is suspect.
  duration suspect_after(bool own_domain) const;

  /// Interval between two rounds, averaged over the recent ones.
  duration interval() const;

private:
  duration transmission_time(std::size_t bytes) const;
  std::vector<entry_vm> contacts_in(std::vector<entry_vm> candidates, const membership& peers, instant now);

  vm_id self_;
  std::string domain_;
  timing times_;
  instant next_round_{};
  duration interval_;
  std::uint64_t round_ = 0;
  std::map<vm_id, instant> first_sent_;
};

}
