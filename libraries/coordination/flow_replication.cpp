#include "flow_router_implementation.h"

namespace coltsfootlock {

// Records that the home referred an open to another domain or queries a daemon there. An existing referral of this
// daemon takes precedence.
void
flow_router::implementation::replicate_referral(routed_packet& routed, event_context& context)
{
  flow_entry* entry = table.find(routed.flow);
  if (!std::holds_alternative<open_packet>(routed.content)) {
    drop(context);
    return;
  }
  if (entry != nullptr && !entry->referral) {
    route_open(routed, context);
    return;
  }
  const bool is_referral = routed.conclusive || (entry != nullptr && !entry->is_query_record());
  if (is_referral) {
    const bool has_referral = entry != nullptr && !entry->is_query_record();
    const std::uint32_t daemon = has_referral ? entry->account : routed.account;
    if (!has_referral && !order->in_service(index.daemon_of(daemon).domain)) {
      // Home and deputy use different orders, and each could send the flow to another domain. A later copy of the open
      // is handled once they agree.
      drop(context);
      return;
    }
    flow_entry* referral = record_referral(routed.flow, daemon, context.now);
    if (referral == nullptr) {
      drop(context);
      return;
    }
    update_referral(*referral, routed);
    send_referral(routed, referral->account, context);
    return;
  }
  entry = record_referral(routed.flow, routed.account, context.now);
  if (entry == nullptr) {
    drop(context);
    return;
  }
  entry->hinted = true;
  entry->recently_opened = false;
  const std::uint32_t peer = routed.account;
  routed.account = routed.from;
  routed.conclusive = true;
  forward(routed, peer, forward_purpose::open_check, context);
}

void
flow_router::implementation::on_replicate(routed_packet& routed, event_context& context)
{
  if (routed.target == name_registry::none) {
    replicate_referral(routed, context);
    return;
  }
  const route_state state = state_of(routed.target, routed.group);
  flow_entry* entry = table.find(routed.flow);
  const bool matches = entry != nullptr && entry->target == routed.target;
  if (std::holds_alternative<reset_packet>(routed.content)) {
    if (matches) {
      remove_entry(*entry);
    }
    return;
  }
  if (state == route_state::out_of_service) {
    // The sender does not have the change that takes the domain out of service. An open is dropped without a reset
    // because another domain may still open the flow.
    if (std::holds_alternative<open_packet>(routed.content)) {
      drop(context);
    } else {
      reset_caller(routed.flow, reset_reason::domain_out, context);
    }
    return;
  }
  if (state != route_state::usable) {
    drop(context);
    return;
  }
  if (std::holds_alternative<close_packet>(routed.content)) {
    const std::uint32_t target = matches || entry == nullptr || entry->referral ? routed.target : entry->target;
    const std::uint8_t path = matches ? entry->path : 0;
    if (entry != nullptr) {
      remove_entry(*entry);
    }
    if (state_of(target, routed.group) == route_state::usable) {
      send_to_address(target, path, routed.content, context);
    }
    return;
  }
  replicate_route(routed, context);
}

// A home that has lost its record of a referral opens the flow again. Its deputy still has the referral, or the route
// learned since, and redirects the packets.
bool
flow_router::implementation::deputy_overrides_home(routed_packet& routed, event_context& context)
{
  flow_entry* entry = table.find(routed.flow);
  if (entry == nullptr || order->members_of(own_domain, routed.hash)[1] != self) {
    return false;
  }
  const bool opens = std::holds_alternative<open_packet>(routed.content);
  if (entry->is_query_record()) {
    // This daemon sent the query for a home that could not open the flow and has no record of the query.
    const bool query_sent = opens && entry->recently_opened && query_next_peer(routed, name_registry::none, context);
    if (query_sent) {
      correct_home(routed, context);
    }
    return query_sent;
  }
  if (entry->referral) {
    redirect_to_referral(*entry, routed, opens, context);
    return true;
  }
  const bool in_other_domain =
    state_of(entry->target, routed.group) == route_state::usable && index.target_of(entry->target).domain != own_domain;
  if (!in_other_domain) {
    return false;
  }
  if (!opens) {
    routed.target = name_registry::none;
    routed.account = name_registry::none;
    route_by_record(*entry, routed, context);
    return true;
  }
  correct_home(routed, context);
  return query_learned_home(routed, context);
}

void
flow_router::implementation::redirect_to_referral(flow_entry& entry,
                                                  routed_packet& routed,
                                                  bool opens,
                                                  event_context& context)
{
  entry.used_ms = milliseconds_at(context.now);
  update_referral(entry, routed);
  correct_home(routed, context);
  if (opens) {
    send_referral(routed, entry.account, context);
    return;
  }
  const std::uint32_t home = referral_home(routed, entry.account);
  if (home == name_registry::none) {
    drop(context);
    return;
  }
  routed.target = name_registry::none;
  routed.account = name_registry::none;
  routed.hops = 0;
  forward(routed, home, forward_purpose::search, context);
}

void
flow_router::implementation::correct_home(const routed_packet& routed, event_context& context)
{
  log(context, "the record of " + names.name(routed.from) + " is corrected: the flow was referred to another domain");
  const reset_packet wrong{ routed.flow, reset_reason::unknown_flow, {} };
  send_to_daemon(
    routed.from,
    forwarded_packet{ view->self, forward_purpose::replicate, 0, true, names.name(routed.target), {}, wrong },
    context);
}

// Records the route that a peer sends with a packet. If this daemon is home or deputy and has a record with another
// target, its own record takes precedence, because that target already has the flow.
void
flow_router::implementation::replicate_route(routed_packet& routed, event_context& context)
{
  const auto* data = std::get_if<data_packet>(&routed.content);
  const bool upstream = std::holds_alternative<open_packet>(routed.content) || (data != nullptr && data->to_target);
  if (upstream && deputy_overrides_home(routed, context)) {
    return;
  }
  flow_entry* entry = table.find(routed.flow);
  const bool differs = entry != nullptr && !entry->referral && entry->target != routed.target;
  const bool usable = differs && state_of(entry->target, routed.group) == route_state::usable;
  const flow_role role = usable ? role_of(*entry, routed.hash) : flow_role::learned;
  const bool keeps_own_record =
    role == flow_role::deputy || (role == flow_role::home && routed.from != ranking_at(entry->target, routed.hash)[1]);
  if (keeps_own_record) {
    log(context, "the record of " + names.name(routed.from) + " is corrected to " + names.name(entry->target));
    send_to_daemon(routed.from, route_hints{ { record_of(*entry) } }, context);
  } else {
    const bool first = entry == nullptr || differs;
    const bool opens = std::holds_alternative<open_packet>(routed.content);
    entry = record(routed.flow, routed.target, routed.account, context.now);
    if (entry == nullptr) {
      drop(context);
      return;
    }
    entry->recently_opened = first ? opens : just_opened(*entry, context.now);
  }
  entry->hinted = false;
  entry->replica = routed.from;
  entry->role = flow_role::unknown; // recomputed, which also checks whether the sender is the deputy
  entry->refreshed_ms = milliseconds_at(context.now);
  entry->used_ms = entry->refreshed_ms;
  if (!upstream) {
    if (!keeps_own_record) {
      context.actions.emplace_back(send_to_caller{ routed.content });
    }
    return;
  }
  // The search has ended at the home. A hint gives the route to the daemon where the packet entered.
  if (role_of(*entry, routed.hash) == flow_role::home && data != nullptr) {
    offer_hint(*entry, routed.entry_daemon, context);
  }
  deliver(*entry, routed.content, context);
}

}
