#include "flow_router_implementation.h"

namespace coltsfootlock {

flow_entry*
flow_router::implementation::record(const flow_key& flow, std::uint32_t target, std::uint32_t account, instant now)
{
  flow_entry* entry = table.insert(flow);
  if (entry == nullptr) {
    return nullptr;
  }
  if (entry->is_query_record()) {
    entry->hinted = false;
  }
  set_route(*entry, target, account);
  entry->used_ms = milliseconds_at(now);
  return entry;
}

flow_entry*
flow_router::implementation::record_referral(const flow_key& flow, std::uint32_t daemon, instant now)
{
  flow_entry* entry = table.insert(flow);
  if (entry == nullptr) {
    return nullptr;
  }
  set_route(*entry, name_registry::none, daemon);
  entry->referral = true;
  entry->hinted = false;
  entry->used_ms = milliseconds_at(now);
  return entry;
}

// Updates the count of open flows on the own share. All changes of the target or account of an entry go through here.
void
flow_router::implementation::set_route(flow_entry& entry, std::uint32_t target, std::uint32_t account)
{
  if (entry.target == target && entry.account == account && !entry.referral) {
    return;
  }
  if (entry.target != name_registry::none && uses_own_share(entry)) {
    shares.remove(entry.target);
  }
  if (entry.target != target) {
    entry.path = 0;
    entry.unanswered = 0;
    entry.replica = name_registry::none;
    entry.role = flow_role::unknown;
  }
  entry.target = target;
  entry.account = account;
  entry.referral = false;
  if (target != name_registry::none && uses_own_share(entry)) {
    shares.add(target);
  }
}

void
flow_router::implementation::remove_entry(flow_entry& entry)
{
  set_route(entry, name_registry::none, name_registry::none);
  const flow_key key = entry.key;
  table.erase(key);
}

flow_router::implementation::route_state
flow_router::implementation::state_of(std::uint32_t target, std::uint32_t group) const
{
  const routing_index::target& known = index.target_of(target);
  if (!known.ever_listed) {
    return route_state::unknown;
  }
  if (!known.listed) {
    return route_state::lost;
  }
  if (!order->in_service(known.domain)) {
    return route_state::out_of_service;
  }
  return known.group == group ? route_state::usable : route_state::wrong_group;
}

flow_order::ranking
flow_router::implementation::ranking_at(std::uint32_t target, std::uint64_t hash) const
{
  return order->members_of(index.target_of(target).domain, hash);
}

std::uint32_t
flow_router::implementation::home_at(std::uint32_t target, std::uint64_t hash) const
{
  return ranking_at(target, hash).front();
}

flow_role
flow_router::implementation::role_of(flow_entry& entry, std::uint64_t hash) const
{
  if (entry.generation == generation && entry.role != flow_role::unknown) {
    return entry.role;
  }
  const flow_order::ranking ranked = ranking_at(entry.target, hash);
  entry.generation = generation;
  entry.role = ranked[0] == self ? flow_role::home : ranked[1] == self ? flow_role::deputy : flow_role::learned;
  if (entry.role == flow_role::home && entry.replica != ranked[1]) {
    entry.replica = name_registry::none; // sends the next packet through the new deputy
  }
  return entry.role;
}

// True while copies of the open may still arrive.
bool
flow_router::implementation::just_opened(const flow_entry& entry, instant now) const
{
  const std::uint32_t age_ms = milliseconds_at(now) - entry.refreshed_ms;
  return entry.recently_opened && age_ms < static_cast<std::uint32_t>(times.max_packet_lifetime.count());
}

// Removes a route that must not be used any more. Only home and deputy reset the caller, or any daemon with the route
// if the domain is out of service. A flow opened while the change was spreading is not reset: another domain may have
// opened it for a later copy of the open, and the reset would end that flow.
void
flow_router::implementation::drop_route(flow_entry& entry, route_state state, event_context& context)
{
  const flow_key flow = entry.key;
  const flow_role role = role_of(entry, hash_of(flow));
  const bool answers =
    (state == route_state::out_of_service || role != flow_role::learned) && !just_opened(entry, context.now);
  remove_entry(entry);
  if (!answers) {
    return;
  }
  const reset_reason reason = state == route_state::out_of_service ? reset_reason::domain_out
                              : state == route_state::wrong_group  ? reset_reason::no_service
                                                                   : reset_reason::target_lost;
  reset_caller(flow, reason, context);
}

// Returns the entry to route by, or null if there is none. Sets `handled` if the packet needs no further routing.
flow_entry*
flow_router::implementation::usable_entry(const routed_packet& routed, event_context& context, bool& handled)
{
  handled = false;
  flow_entry* entry = table.find(routed.flow);
  if (entry == nullptr || entry->referral) {
    return entry;
  }
  const route_state state = state_of(entry->target, routed.group);
  if (state == route_state::usable) {
    return entry;
  }
  if (state == route_state::unknown) {
    drop(context);
    handled = true;
    return nullptr;
  }
  const std::uint64_t resets = counters.flows_broken;
  drop_route(*entry, state, context);
  handled = counters.flows_broken != resets;
  return nullptr;
}

}
