#include "coltsfootlock/coordination/share.h"
#include "flow_router_implementation.h"

#include <algorithm>

namespace coltsfootlock {

void
flow_router::implementation::route_open(routed_packet& routed, event_context& context)
{
  bool handled = false;
  flow_entry* entry = usable_entry(routed, context, handled);
  if (handled) {
    return;
  }
  // Only the first domain of the order uses its referrals, so that one pair of daemons serialises all copies.
  const bool first = order->first_domain(routed.group, routed.hash) == own_domain;
  if (decides_opens(entry, routed) && (first || !entry->referral)) {
    open_existing(*entry, routed, context);
    return;
  }
  if (awaits_first_domain(routed, context.now)) {
    log(context,
        "flow of " + to_string(routed.flow.caller) + " is not opened: its home domain has just become unreachable");
    drop(context);
    return;
  }
  const std::uint32_t home = order_home(routed);
  if (home == self) {
    open_here(routed, context);
    return;
  }
  if (home == name_registry::none) {
    drop(context);
    return;
  }
  forward(routed, home, forward_purpose::route_at_home, context);
}

// Handles a further copy of an open: the home sends it along the route of the first copy, the deputy forwards it to the
// home.
void
flow_router::implementation::open_existing(flow_entry& entry, routed_packet& routed, event_context& context)
{
  if (entry.referral) {
    open_by_referral(entry, routed, context);
    return;
  }
  const flow_role role = role_of(entry, routed.hash);
  const std::uint32_t home = home_at(entry.target, routed.hash);
  if (role == flow_role::home || home == name_registry::none) {
    entry.recently_opened = true; // every copy goes through the deputy
    entry.refreshed_ms = milliseconds_at(context.now);
    send_from_home(entry, routed, context);
    return;
  }
  routed.target = entry.target;
  routed.account = entry.account;
  entry.used_ms = milliseconds_at(context.now);
  forward(routed, home, forward_purpose::replicate, context);
}

// Queries the home in the domain of a learned route. The route may come from a referral or belong to an earlier flow
// between the same endpoints. Returns false if there is no home to query.
bool
flow_router::implementation::query_learned_home(routed_packet& routed, event_context& context)
{
  flow_entry* learned = table.find(routed.flow);
  if (learned == nullptr || learned->referral) {
    return false;
  }
  const std::uint32_t home = home_at(learned->target, routed.hash);
  if (home == name_registry::none || home == self) {
    remove_entry(*learned);
    return false;
  }
  routed.account = self;
  routed.target = name_registry::none;
  routed.conclusive = true;
  forward(routed, home, forward_purpose::open_check, context);
  return true;
}

// Handles the first open of a flow at its home.
void
flow_router::implementation::open_here(routed_packet& routed, event_context& context)
{
  if (query_learned_home(routed, context)) {
    return;
  }
  if (query_next_peer(routed, name_registry::none, context)) {
    return;
  }
  open_on_own_share(routed, context);
}

void
flow_router::implementation::open_on_own_share(routed_packet& routed, event_context& context)
{
  const flow_order::ranking ranked = order->members_of(own_domain, routed.hash);
  const bool has_deputy = ranked[0] == self && ranked[1] != name_registry::none;
  // A home that has just started does not have the earlier orders, but its deputy may have them.
  const bool just_started = context.now < started + times.order_retention;
  if (!may_spend(*view, context.now) || (just_started && has_deputy)) {
    forward_to_deputy(routed, context);
    return;
  }
  const std::uint32_t target = shares.choose(routed.group, routed.hash, context.now);
  if (target == name_registry::none || state_of(target, routed.group) != route_state::usable) {
    refer_to_next_domain(routed, context);
    return;
  }
  flow_entry* entry = record(routed.flow, target, self, context.now);
  if (entry == nullptr) {
    drop(context);
    return;
  }
  entry->recently_opened = true;
  entry->refreshed_ms = milliseconds_at(context.now);
  ++counters.flows_opened;
  log(context, to_string(routed.flow.caller) + " opens a flow to " + names.name(target));
  open_existing(*entry, routed, context);
}

// True if the entry decides where copies of the open go. A learned route does not.
bool
flow_router::implementation::decides_opens(flow_entry* entry, const routed_packet& routed) const
{
  if (entry == nullptr || entry->is_query_record()) {
    return false;
  }
  return entry->referral || role_of(*entry, routed.hash) != flow_role::learned;
}

bool
flow_router::implementation::is_home_or_deputy(const routed_packet& routed) const
{
  const flow_order::ranking ranked = order->members_of(own_domain, routed.hash);
  return ranked[0] == self || ranked[1] == self;
}

// Forwards an open to the deputy. A home without authority may have outdated data, so it neither opens nor refers the
// flow; the deputy serialises the opens of both.
void
flow_router::implementation::forward_to_deputy(routed_packet& routed, event_context& context)
{
  const flow_order::ranking ranked = order->members_of(own_domain, routed.hash);
  const std::uint32_t other = ranked[0] == self ? ranked[1] : name_registry::none;
  if (other == name_registry::none || other == routed.from) {
    log(context, "flow of " + to_string(routed.flow.caller) + " is not opened: this daemon has no spending authority");
    drop(context);
    return;
  }
  routed.target = name_registry::none;
  routed.account = name_registry::none;
  routed.conclusive = order->first_domain(routed.group, routed.hash) == own_domain; // false if it was referred here
  forward(routed, other, forward_purpose::refer, context);
}

// Returns the next daemon that may have a record of the flow after a recent change of the order: first the next daemons
// of the own domain, then the homes in the domains that came first under earlier orders. `responder` is the daemon that
// responded last, `none` for the first query; returns `none` if no daemon is left. Sets `reachable` to false if no
// daemon of the domain to query can be reached.
std::uint32_t
flow_router::implementation::next_peer_to_query(const routed_packet& routed,
                                                std::uint32_t responder,
                                                instant now,
                                                bool& reachable)
{
  reachable = true;
  bool found = responder == name_registry::none;
  if (now < std::max(order_changed, started) + times.order_retention) {
    const flow_order::ranking ranked = order->members_of(own_domain, routed.hash);
    // A deputy opens a flow only if the home has forwarded the open to it.
    const bool home = ranked[0] == self;
    for (const std::uint32_t peer : { home ? ranked[1] : name_registry::none, ranked[2] }) {
      if (found && peer != name_registry::none && peer != self) {
        return peer;
      }
      found = found || peer == responder;
    }
  }
  const std::uint32_t responder_domain = index.daemon_of(responder).domain;
  for (const earlier_order& entry : earlier) {
    if (now >= entry.changed + times.order_retention) {
      break;
    }
    const std::uint32_t domain = first_in_service(entry.order, routed);
    if (domain == name_registry::none || domain == own_domain) {
      continue;
    }
    if (found && domain != responder_domain) {
      const std::uint32_t peer = order->members_of(domain, routed.hash).front();
      reachable = peer != name_registry::none;
      return peer;
    }
    found = found || domain == responder_domain;
  }
  // A daemon that was queried within the retention time may have opened the flow since.
  const flow_entry* query_record = table.find(routed.flow);
  if (query_record == nullptr || !query_record->is_query_record() ||
      index.daemon_of(query_record->account).domain == responder_domain) {
    return name_registry::none;
  }
  const std::uint32_t domain = index.daemon_of(query_record->account).domain;
  if (domain == own_domain || !order->in_service(domain)) {
    return name_registry::none;
  }
  const std::uint32_t peer = order->members_of(domain, routed.hash).front();
  reachable = peer != name_registry::none;
  return peer;
}

// Returns the first domain in service under an earlier order. A domain that is out of service since may have referred
// the flow to the next one.
std::uint32_t
flow_router::implementation::first_in_service(const flow_order& previous_order, const routed_packet& routed)
{
  const std::size_t weighted = previous_order.domains_of(routed.group, routed.hash, domain_scratch);
  const auto end = domain_scratch.begin() + static_cast<std::ptrdiff_t>(weighted);
  const auto first =
    std::find_if(domain_scratch.begin(), end, [this](std::uint32_t candidate) { return order->in_service(candidate); });
  return first == end ? name_registry::none : *first;
}

// Queries the next daemon that may have a record of the flow. Returns false if there is none. The flow is not opened
// without a response; the caller repeats the open.
bool
flow_router::implementation::query_next_peer(routed_packet& routed, std::uint32_t responder, event_context& context)
{
  bool reachable = true;
  const std::uint32_t peer = next_peer_to_query(routed, responder, context.now, reachable);
  if (!reachable) {
    log(context, "flow of " + to_string(routed.flow.caller) + " is not opened: its previous home cannot be reached");
    drop(context);
    return true;
  }
  if (peer == name_registry::none) {
    return false;
  }
  if (index.daemon_of(peer).domain != own_domain) {
    flow_entry* query_record = record_referral(routed.flow, peer, context.now);
    if (query_record == nullptr) {
      drop(context);
      return true;
    }
    query_record->hinted = true;
    query_record->recently_opened = true;
    const flow_order::ranking ranked = order->members_of(own_domain, routed.hash);
    if (ranked[0] == self && ranked[1] != name_registry::none) {
      // The query goes through the deputy, which records it as well.
      routed.account = peer;
      routed.target = name_registry::none;
      routed.conclusive = false;
      forward(routed, ranked[1], forward_purpose::replicate, context);
      return true;
    }
  }
  routed.account = self;
  routed.target = name_registry::none;
  routed.conclusive = true;
  forward(routed, peer, forward_purpose::open_check, context);
  return true;
}

// Handles the query of a daemon that is about to open a flow. Only a daemon that would not open the flow itself may
// respond that it has no record, because otherwise it could open the flow for a later copy.
void
flow_router::implementation::on_open_check(routed_packet& routed, event_context& context)
{
  bool handled = false;
  flow_entry* entry = usable_entry(routed, context, handled);
  if (handled) {
    return;
  }
  const std::uint32_t requester = routed.account;
  if (entry != nullptr && entry->is_query_record()) {
    entry = nullptr;
  }
  if (entry != nullptr && !entry->hinted) {
    routed.account = name_registry::none;
    open_existing(*entry, routed, context);
    return;
  }
  if (entry != nullptr) {
    const std::uint32_t home = home_at(entry->target, routed.hash);
    if (home != self && home != requester && home != name_registry::none) {
      routed.conclusive = true;
      forward(routed, home, forward_purpose::open_check, context);
      return;
    }
  }
  const bool same_domain = index.daemon_of(requester).domain == own_domain;
  const flow_order::ranking ranked = order->members_of(own_domain, routed.hash);
  const bool may_open =
    same_domain ? ranked[0] == self
                : order->first_domain(routed.group, routed.hash) == own_domain || !start_up_finished(context.now);
  if (may_open || requester == name_registry::none) {
    drop(context);
    return;
  }
  const std::uint32_t deputy = ranked[0] == self ? ranked[1] : name_registry::none;
  if (!same_domain && routed.conclusive && deputy != name_registry::none) {
    routed.conclusive = false; // shows the deputy that the home has been queried
    forward(routed, deputy, forward_purpose::open_check, context);
    return;
  }
  forward(routed, requester, forward_purpose::open_unclaimed, context);
}

void
flow_router::implementation::on_open_unclaimed(routed_packet& routed, event_context& context)
{
  bool handled = false;
  flow_entry* entry = usable_entry(routed, context, handled);
  if (handled) {
    return;
  }
  if (decides_opens(entry, routed)) {
    open_existing(*entry, routed, context);
    return;
  }
  const std::uint32_t responder_domain = index.daemon_of(routed.from).domain;
  if (entry != nullptr && entry->is_query_record()) {
    entry = nullptr;
  }
  if (entry != nullptr && responder_domain != own_domain && index.target_of(entry->target).domain == responder_domain) {
    remove_entry(*entry);
    entry = nullptr;
  }
  routed.conclusive = true;
  routed.account = name_registry::none;
  // The order may have changed since the query was sent.
  const bool first = order->first_domain(routed.group, routed.hash) == own_domain;
  if (entry != nullptr || !first || !is_home_or_deputy(routed)) {
    route_open(routed, context);
    return;
  }
  if (!query_next_peer(routed, routed.from, context)) {
    open_on_own_share(routed, context);
  }
}

}
