#pragma once

#include "coltsfootlock/state/catalogue.h"
#include "coltsfootlock/state/peer_message.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootlock {

/// State of one listed entry VM.
struct member_view
{
  entry_vm vm;
  bool alive = false; ///< Used for forwarding only; does not affect which daemon may spend a share or own a key.
  daemon_state state = daemon_state::starting;
  std::vector<group_capacity> capacity; ///< As last reported.

  auto operator<=>(const member_view&) const = default;
};

struct domain_view
{
  bool in_service = true;
  std::vector<member_view> members; ///< All entry VMs listed for the domain, sorted by id.

  auto operator<=>(const domain_view&) const = default;
};

/// State of one target.
struct target_view
{
  target_vm vm;
  bool leaving = false;          ///< According to the list or to any report.
  std::uint64_t incarnation = 0; ///< Newest observed incarnation; 0 before the first one.
  instant cold_since{};          ///< Start of the cold allowance of that incarnation.

  auto operator<=>(const target_view&) const = default;
};

/// Daemons that share the target limits, and domains that own idempotency keys, for one list and one catalogue.
struct entry_set
{
  std::vector<vm_id> members;           ///< Listed entry VMs of this domain, sorted by id.
  std::vector<std::string> key_domains; ///< Domains in service that may own idempotency keys, sorted by name.

  auto operator<=>(const entry_set&) const = default;
};

/// An entry set and the time from which it was settled.
struct entry_set_epoch
{
  instant since{};
  entry_set set;
  bool direct = false; ///< Only the domains changed, and no catalogue version was skipped since the previous epoch.

  auto operator<=>(const entry_set_epoch&) const = default;
};

/// Immutable snapshot that the control thread publishes and the traffic thread reads.
struct routing_view
{
  std::uint64_t sequence = 0; ///< Increases with each published view.
  vm_id self;
  std::string domain;
  std::uint64_t boot_id = 0;
  daemon_state state = daemon_state::starting;
  std::shared_ptr<const catalogue> services; ///< Never null in a published view.
  std::shared_ptr<const vm_list> vms;        ///< Never null in a published view.
  std::map<std::string, domain_view> domains;
  std::map<vm_id, target_view> targets; ///< All listed targets; cold_since and leaving are kept for the own domain.

  /// Sets from which shares are computed: the settled one first, then the pending ones. A share is the minimum over
  /// all of them; a key is owned only if it is owned under all of them. Empty while no set is settled.
  std::vector<entry_set> spending_sets;
  instant spend_from{};                   ///< No share is spent before this time (start-up hold-off).
  instant spend_authority_until{};        ///< No share is spent from this time on.
  instant key_authority_until{};          ///< No idempotency key is accepted from this time on.
  std::vector<entry_set_epoch> ownership; ///< Settled sets within the last key_retention, oldest first.

  /// The view in force until order_changed; used to find the homes of flows across a change of the domain order.
  std::shared_ptr<const routing_view> previous;
  instant order_changed{};
};

}
