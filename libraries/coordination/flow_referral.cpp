#include "flow_router_implementation.h"

#include <algorithm>

namespace coltsfootlock {

// The home sends each copy through the deputy, and the deputy sends it through the home, so that both record the
// referral before the other domain opens the flow.
void
flow_router::implementation::open_by_referral(flow_entry& entry, routed_packet& routed, event_context& context)
{
  entry.used_ms = milliseconds_at(context.now);
  update_referral(entry, routed);
  const flow_order::ranking ranked = order->members_of(own_domain, routed.hash);
  const std::uint32_t other = ranked[0] == self ? ranked[1] : ranked[0];
  if (other == name_registry::none) {
    send_referral(routed, entry.account, context);
    return;
  }
  routed.target = name_registry::none;
  routed.account = entry.account;
  routed.conclusive = true;
  forward(routed, other, forward_purpose::replicate, context);
}

void
flow_router::implementation::refer_to_next_domain(routed_packet& routed, event_context& context)
{
  const std::size_t weighted = order->domains_of(routed.group, routed.hash, domain_scratch);
  const auto own = std::find(domain_scratch.begin(), domain_scratch.end(), own_domain);
  const auto end = domain_scratch.begin() + static_cast<std::ptrdiff_t>(weighted);
  for (auto next = own < end ? own + 1 : end; next < end; ++next) {
    const std::uint32_t daemon = order->members_of(*next, routed.hash).front();
    if (daemon == name_registry::none) {
      routed.conclusive = false;
      continue;
    }
    log(context,
        "flow of " + to_string(routed.flow.caller) + " is referred to " + names.name(*next) +
          ": this domain has no share left");
    flow_entry* referral = record_referral(routed.flow, daemon, context.now);
    if (referral == nullptr) {
      drop(context);
      return;
    }
    open_by_referral(*referral, routed, context);
    return;
  }
  // Neither resets the caller nor removes the referrals: another copy of the open may still succeed, and a reset would
  // end its flow. The caller repeats the open until a share is free.
  log(context, "flow of " + to_string(routed.flow.caller) + " is not opened: no domain has a share left");
  drop(context);
}

// Returns the home of the flow in the domain that it was referred to. If that domain is now out of service, its daemons
// may have referred the flow further, so the home in the next domain of the current order is returned. `none` if it
// cannot be reached.
std::uint32_t
flow_router::implementation::referral_home(const routed_packet& routed, std::uint32_t daemon)
{
  const std::uint32_t domain = index.daemon_of(daemon).domain;
  if (order->in_service(domain)) {
    return order->members_of(domain, routed.hash).front();
  }
  const std::size_t weighted = order->domains_of(routed.group, routed.hash, domain_scratch);
  const auto own = std::find(domain_scratch.begin(), domain_scratch.end(), own_domain);
  const auto end = domain_scratch.begin() + static_cast<std::ptrdiff_t>(weighted);
  return own < end && own + 1 < end ? order->members_of(*(own + 1), routed.hash).front() : name_registry::none;
}

// Redirects a referral to a domain out of service to the next domain and records that, so that the flow does not return
// to the first one when it is back in service.
void
flow_router::implementation::update_referral(flow_entry& entry, const routed_packet& routed)
{
  if (order->in_service(index.daemon_of(entry.account).domain)) {
    return;
  }
  const std::uint32_t home = referral_home(routed, entry.account);
  if (home != name_registry::none) {
    entry.account = home;
  }
}

// Sends a referred open to its domain. The home there may have changed since the referral was recorded.
void
flow_router::implementation::send_referral(routed_packet& routed, std::uint32_t daemon, event_context& context)
{
  const std::uint32_t home = referral_home(routed, daemon);
  if (home == name_registry::none) {
    drop(context);
    return;
  }
  routed.target = name_registry::none;
  routed.account = name_registry::none;
  forward(routed, home, forward_purpose::refer, context);
}

void
flow_router::implementation::on_refer(routed_packet& routed, event_context& context)
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
  if (!order->in_service(own_domain)) {
    drop(context);
    return;
  }
  const std::uint32_t home = order->members_of(own_domain, routed.hash).front();
  const bool sent_by_home = home == routed.from;
  const bool outdated =
    sent_by_home && routed.conclusive && order->first_domain(routed.group, routed.hash) != own_domain;
  if (outdated) {
    drop(context); // the home uses an order that this daemon has not received yet
    return;
  }
  if (home != self && !sent_by_home) {
    if (home == name_registry::none) {
      drop(context);
      return;
    }
    forward(routed, home, forward_purpose::refer, context);
    return;
  }
  const std::uint32_t first = order->first_domain(routed.group, routed.hash);
  const bool learned = entry != nullptr && !entry->referral;
  if (learned && index.target_of(entry->target).domain == first && first != own_domain) {
    remove_entry(*entry); // the domain of the learned route has just reported that it has no record
  }
  if (query_learned_home(routed, context)) {
    return;
  }
  // A home that started after the change does not have the earlier order, so its deputy sends the queries.
  if (sent_by_home && routed.conclusive && query_next_peer(routed, name_registry::none, context)) {
    return;
  }
  open_on_own_share(routed, context);
}

}
