#include "flow_router_implementation.h"

namespace coltsfootlock {

namespace {

constexpr std::uint8_t max_hops = 8;

}

void
flow_router::implementation::route_data(routed_packet& routed, event_context& context)
{
  bool handled = false;
  flow_entry* entry = usable_entry(routed, context, handled);
  if (handled) {
    return;
  }
  if (entry != nullptr && !entry->referral) {
    route_by_record(*entry, routed, context);
    return;
  }
  // A home that lost its records restores the route from the packet of a daemon that learned it.
  const bool has_received_route = routed.from != name_registry::none && routed.target != name_registry::none &&
                                  state_of(routed.target, routed.group) == route_state::usable &&
                                  home_at(routed.target, routed.hash) == self;
  if (has_received_route) {
    entry = record(routed.flow, routed.target, routed.account, context.now);
    if (entry == nullptr) {
      drop(context);
      return;
    }
    route_by_record(*entry, routed, context);
    return;
  }
  routed.target = name_registry::none;
  routed.account = name_registry::none;
  route_without_record(routed, context);
}

// Routes a packet without a usable record: the home starts a search, any other daemon forwards the packet to the home.
void
flow_router::implementation::route_without_record(routed_packet& routed, event_context& context)
{
  const std::uint32_t home = order_home(routed);
  if (home == self) {
    start_search(routed, context);
    return;
  }
  if (home == name_registry::none || routed.hops >= max_hops) {
    drop(context);
    return;
  }
  ++routed.hops;
  forward(routed, home, forward_purpose::route_at_home, context);
}

// Routes by the record of this daemon. A daemon other than the home forwards one packet per refresh interval to the
// home.
void
flow_router::implementation::route_by_record(flow_entry& entry, routed_packet& routed, event_context& context)
{
  if (role_of(entry, routed.hash) == flow_role::home) {
    send_from_home(entry, routed, context);
    return;
  }
  const std::uint32_t now_ms = milliseconds_at(context.now);
  const bool due = now_ms - entry.refreshed_ms >= static_cast<std::uint32_t>(times.learned_refresh.count());
  if (!due || routed.hops >= max_hops) {
    deliver(entry, routed.content, context);
    return;
  }
  const std::uint32_t home = home_at(entry.target, routed.hash);
  if (home == name_registry::none) {
    deliver(entry, routed.content, context);
    return;
  }
  entry.refreshed_ms = now_ms;
  entry.used_ms = now_ms;
  routed.target = entry.target;
  routed.account = entry.account;
  ++routed.hops;
  forward(routed, home, forward_purpose::route_at_home, context);
}

// Sends the first packets of a flow through the deputy, so that it can correct a home that opened a flow which the
// deputy already has. Afterwards one packet per refresh interval goes through the deputy.
void
flow_router::implementation::send_from_home(flow_entry& entry, routed_packet& routed, event_context& context)
{
  const std::uint32_t now_ms = milliseconds_at(context.now);
  const std::uint32_t age_ms = now_ms - entry.refreshed_ms;
  entry.recently_opened = just_opened(entry, context.now);
  const bool sender_lacks_route = routed.entry_daemon != self && routed.target != entry.target;
  if (sender_lacks_route && std::holds_alternative<data_packet>(routed.content)) {
    offer_hint(entry, routed.entry_daemon, context);
  }
  const bool due = age_ms >= static_cast<std::uint32_t>(times.learned_refresh.count());
  if (!entry.recently_opened && !due && entry.replica != name_registry::none) {
    deliver(entry, routed.content, context);
    return;
  }
  const flow_order::ranking ranked = ranking_at(entry.target, routed.hash);
  const bool account_elsewhere = entry.account != self && entry.account != ranked[1] &&
                                 index.daemon_of(entry.account).listed && !entry.recently_opened;
  // The daemon whose share the flow uses keeps a record too, and needs packets to refresh it.
  const bool replicate_to_account = account_elsewhere && due && entry.replica == ranked[1];
  const std::uint32_t through = replicate_to_account ? entry.account : ranked[1];
  entry.replica = replicate_to_account ? name_registry::none : through;
  if (!entry.recently_opened) {
    entry.refreshed_ms = now_ms;
  }
  if (through == name_registry::none) {
    entry.replica = self; // the only daemon in the domain: no replica until the order changes
    deliver(entry, routed.content, context);
    return;
  }
  entry.used_ms = now_ms;
  routed.target = entry.target;
  routed.account = entry.account;
  forward(routed, through, forward_purpose::replicate, context);
}

void
flow_router::implementation::route_close(routed_packet& routed, event_context& context)
{
  bool handled = false;
  flow_entry* entry = usable_entry(routed, context, handled);
  if (handled) {
    return;
  }
  if (entry != nullptr && !entry->referral) {
    const std::uint32_t target = entry->target;
    const std::uint32_t account = entry->account;
    const flow_role role = role_of(*entry, routed.hash);
    const std::uint32_t home = home_at(target, routed.hash);
    if (role == flow_role::home || home == name_registry::none || routed.hops >= max_hops) {
      close_at_home(routed, target, account, context);
      return;
    }
    if (role == flow_role::learned && account != self) {
      remove_entry(*entry);
    }
    routed.target = target;
    routed.account = account;
    ++routed.hops;
    forward(routed, home, forward_purpose::route_at_home, context);
    return;
  }
  if (entry != nullptr) {
    remove_entry(*entry);
  }
  const bool has_received_route = routed.from != name_registry::none && routed.target != name_registry::none &&
                                  state_of(routed.target, routed.group) == route_state::usable &&
                                  home_at(routed.target, routed.hash) == self;
  if (has_received_route) {
    close_at_home(routed, routed.target, routed.account, context);
    return;
  }
  route_without_record(routed, context);
}

void
flow_router::implementation::close_at_home(routed_packet& routed,
                                           std::uint32_t target,
                                           std::uint32_t account,
                                           event_context& context)
{
  flow_entry* entry = table.find(routed.flow);
  const std::uint8_t path = entry == nullptr ? 0 : entry->path;
  if (entry != nullptr) {
    remove_entry(*entry);
  }
  routed.target = target;
  routed.account = account;
  const flow_order::ranking ranked = ranking_at(target, routed.hash);
  const std::uint32_t deputy = ranked[0] == self ? ranked[1] : name_registry::none;
  if (account != self && account != deputy && index.daemon_of(account).listed) {
    forward(routed, account, forward_purpose::replicate, context);
  }
  if (deputy != name_registry::none) {
    forward(routed, deputy, forward_purpose::replicate, context);
    return;
  }
  send_to_address(target, path, routed.content, context);
}

}
