#pragma once

#include "coltsfootlock/coordination/routing_view.h"

#include <cstdint>
#include <optional>

namespace coltsfootlock {

/// The listed entry VM that owns the key under the settled set, or under the catalogue while none is settled. Empty
/// if there is none.
vm_id
key_owner(const routing_view& view, std::uint64_t key_hash);

/// True if this daemon owns the key under the settled set and under every pending one.
bool
owns_under_all_sets(const routing_view& view, std::uint64_t key_hash);

/// Start of the uninterrupted ownership of the key by this daemon, according to the settled sets. Empty if it does not
/// own the key.
std::optional<instant>
owner_since(const routing_view& view, std::uint64_t key_hash);

/// The domain in which the entry VM is listed; empty if it is not listed.
std::string
domain_of(const routing_view& view, const vm_id& entry);

/// The daemon that owned the key immediately before this one, if a single change of the domains in service moved the
/// ownership. Empty if another daemon may have owned the key in between.
std::optional<vm_id>
previous_owner(const routing_view& view, std::uint64_t key_hash);

/// True if this daemon owned the key without interruption from `first_sent` or earlier until the newest change of the
/// domains in service moved the ownership to `new_domain`. This daemon then no longer accepts the key.
bool
owned_until_handed_over(const routing_view& view,
                        std::uint64_t key_hash,
                        const std::string& new_domain,
                        instant first_sent);

}
