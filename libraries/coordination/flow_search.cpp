#include "flow_router_implementation.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

constexpr std::size_t max_search_hops = 8; // each hop costs a datagram, in most cases between domains

}

// Returns the home of a flow without a record: the home in the first domain of the order that can be reached.
std::uint32_t
flow_router::implementation::order_home(const routed_packet& routed)
{
  const std::uint32_t first = order->first_domain(routed.group, routed.hash);
  if (first == name_registry::none || order->reachable(first)) {
    return first == name_registry::none ? name_registry::none : order->members_of(first, routed.hash).front();
  }
  const std::size_t weighted = order->domains_of(routed.group, routed.hash, domain_scratch);
  for (std::size_t place = 0; place < weighted; ++place) {
    const std::uint32_t home = order->members_of(domain_scratch[place], routed.hash).front();
    if (home != name_registry::none) {
      return home;
    }
  }
  return name_registry::none;
}

// True while the first domain has been unreachable for less than the order retention. It may have opened the flow for
// an earlier copy of the open, so no other domain may open it yet.
bool
flow_router::implementation::awaits_first_domain(const routed_packet& routed, instant now) const
{
  const auto found = unreachable_since.find(order->first_domain(routed.group, routed.hash));
  return found != unreachable_since.end() && now < found->second + times.order_retention;
}

bool
flow_router::implementation::start_up_finished(instant now) const
{
  return view->state != daemon_state::starting && now >= started + times.start_wait;
}

// Lists the daemons to query, in order: the rest of the ranking in the first domain, then two daemons of each other
// domain.
void
flow_router::implementation::search_sequence(const routed_packet& routed)
{
  search_scratch.clear();
  order->domains_of(routed.group, routed.hash, domain_scratch);
  bool first = true;
  for (const std::uint32_t domain : domain_scratch) {
    const flow_order::ranking ranked = order->members_of(domain, routed.hash);
    if (first) {
      search_scratch.insert(search_scratch.end(), { ranked[1], ranked[2] });
    } else {
      search_scratch.insert(search_scratch.end(), { ranked[0], ranked[1] });
    }
    first = false;
  }
}

void
flow_router::implementation::start_search(routed_packet& routed, event_context& context)
{
  flow_entry* referral = table.find(routed.flow);
  routed.hops = 0;
  routed.target = name_registry::none;
  routed.account = name_registry::none;
  routed.conclusive = true;
  if (referral != nullptr && referral->referral && !referral->is_query_record()) {
    referral->used_ms = milliseconds_at(context.now);
    const std::uint32_t home = referral_home(routed, referral->account);
    if (home != name_registry::none) {
      forward(routed, home, forward_purpose::search, context);
      return;
    }
  }
  continue_search(routed, context);
}

void
flow_router::implementation::on_search(routed_packet& routed, event_context& context)
{
  bool handled = false;
  flow_entry* entry = usable_entry(routed, context, handled);
  if (handled) {
    return;
  }
  if (entry == nullptr || entry->referral) {
    continue_search(routed, context);
    return;
  }
  if (std::holds_alternative<close_packet>(routed.content)) {
    routed.hops = 0;
    route_close(routed, context);
    return;
  }
  log(context, "flow of " + to_string(routed.flow.caller) + " is found at target " + names.name(entry->target));
  const std::uint32_t home = home_at(entry->target, routed.hash);
  const std::uint32_t first = order->first_domain(routed.group, routed.hash);
  if (first != index.target_of(entry->target).domain) {
    offer_hint(*entry, order->members_of(first, routed.hash).front(), context);
  }
  if (home == self || home == name_registry::none) {
    route_by_record(*entry, routed, context);
    return;
  }
  // The forwarded packet restores the record at the home.
  const std::uint32_t now_ms = milliseconds_at(context.now);
  entry->refreshed_ms = now_ms;
  entry->used_ms = now_ms;
  routed.target = entry->target;
  routed.account = entry->account;
  forward(routed, home, forward_purpose::replicate, context);
}

// `hops` counts the positions of the sequence that have been queried.
void
flow_router::implementation::continue_search(routed_packet& routed, event_context& context)
{
  if (!start_up_finished(context.now) || context.now < order_changed + times.order_retention) {
    // The record may be at a daemon outside the current order, or not fetched yet after a start.
    routed.conclusive = false;
  }
  search_sequence(routed);
  const std::size_t end = std::min(search_scratch.size(), max_search_hops);
  for (std::size_t place = routed.hops; place < end; ++place) {
    const std::uint32_t peer = search_scratch[place];
    if (peer == name_registry::none || peer == self || peer == routed.from) {
      continue;
    }
    routed.hops = static_cast<std::uint8_t>(place + 1);
    forward(routed, peer, forward_purpose::search, context);
    return;
  }
  end_search(routed, context);
}

void
flow_router::implementation::end_search(routed_packet& routed, event_context& context)
{
  bool first = true;
  std::size_t places = 0;
  for (const std::uint32_t domain : domain_scratch) {
    if (places >= max_search_hops) {
      break;
    }
    routed.conclusive =
      routed.conclusive && order->reachable(domain) && order->all_alive_and_started(domain, routed.hash, first ? 3 : 2);
    places += 2;
    first = false;
  }
  ++counters.flow_lookups_failed;
  if (!routed.conclusive) {
    log(context, "flow of " + to_string(routed.flow.caller) + " is not found, but not all daemons could be queried");
    drop(context);
    return;
  }
  if (std::holds_alternative<close_packet>(routed.content)) {
    drop(context);
    return;
  }
  reset_caller(routed.flow, reset_reason::unknown_flow, context);
}

}
