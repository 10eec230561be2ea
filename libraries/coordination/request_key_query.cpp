#include "key_ownership.h"
#include "request_router_implementation.h"

#include "coltsfootlock/coordination/share.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

// A domain that was taken out of service gets no packets after a few seconds; until then its daemons respond to
// queries.
constexpr seconds query_window{ 3 };

bool
can_query(const routing_view& view, const vm_id& owner, instant owned_since, instant now)
{
  const auto domain = view.domains.find(domain_of(view, owner));
  if (domain == view.domains.end()) {
    return false;
  }
  const auto& members = domain->second.members;
  const bool alive = std::any_of(
    members.begin(), members.end(), [&](const member_view& member) { return member.vm.id == owner && member.alive; });
  return alive && (domain->second.in_service || now - owned_since < query_window);
}

}

bool
request_router::implementation::query_previous_owner(const request_packet& value,
                                                     const key_id& id,
                                                     event_context& context)
{
  const std::uint64_t hash = hash_of(id);
  const auto since = owner_since(*view, hash);
  const auto previous = previous_owner(*view, hash);
  // After a lapse of authority more than one daemon may have owned the key since the last epoch.
  if (!since || authority_since > *since || !previous) {
    return false;
  }
  const auto peer = index.find_peer(*previous);
  if (!peer || !can_query(*view, *previous, *since, context.now) ||
      !key_queries.open({ value, *previous, context.now })) {
    return false;
  }
  log("request",
      "request " + std::to_string(value.request_id) + " held until " + *previous + " confirms that its key is unused",
      context);
  send_to(index.peers()[*peer], forward_purpose::key_check, 1, value, context);
  return true;
}

void
request_router::implementation::key_check_arrived(const request_packet& value,
                                                  const vm_id& from,
                                                  event_context& context)
{
  const auto peer = index.find_peer(from);
  if (!peer) {
    drop_packet("key check from an unknown daemon", context);
    return;
  }
  if (max_packet_wait(context.now).count() > 0) {
    // The check may have waited in the socket, and the querying daemon may have refused the request in the meantime.
    drop_packet("key check that may have been delayed by a pause of this process", context);
    return;
  }
  const key_id id{ value.flow.service, value.idempotency_key };
  if (key_entry* entry = owned_keys.find(id)) {
    known_key_arrived(*entry, value, context);
    send_to(index.peers()[*peer], forward_purpose::key_in_use, 1, value, context);
    return;
  }
  const instant first_sent = context.now - milliseconds(value.age_ms) - times.max_packet_lifetime;
  const bool owned_throughout = may_accept_keys(*view, context.now) && authority_since <= first_sent;
  if (!owned_throughout || !owned_until_handed_over(*view, hash_of(id), domain_of(*view, from), first_sent)) {
    // Without a response the querying daemon refuses the request as one that may have run.
    drop_packet("key check, but the key may have been used unseen by this daemon", context);
    return;
  }
  send_to(index.peers()[*peer], forward_purpose::key_unused, 1, value, context);
}

void
request_router::implementation::key_unused_arrived(const request_packet& value,
                                                   const vm_id& from,
                                                   event_context& context)
{
  const key_id id{ value.flow.service, value.idempotency_key };
  auto query = key_queries.close(value, from);
  if (!query) {
    drop_packet("late or unexpected response to a key check", context);
    return;
  }
  request_packet held = std::move(query->request);
  const std::uint32_t waited = milliseconds_until(context.now, query->sent_at);
  held.age_ms += waited;
  held.deadline_ms -= std::min(held.deadline_ms, waited);
  if (key_entry* entry = owned_keys.find(id)) {
    known_key_arrived(*entry, held, context);
    return;
  }
  const auto refusal = key_refusal_reason(held, id, context.now);
  if (refusal && *refusal != refusal_reason::owner_changed) {
    refuse_request(held, run_outcome::may_have_run, *refusal, context);
    return;
  }
  // The ownership must not have changed while the response was in transit.
  const std::uint64_t hash = hash_of(id);
  if (leaving || !owns_under_all_sets(*view, hash) || previous_owner(*view, hash) != from ||
      index.find_service(held.flow.service) == nullptr) {
    refuse_request(held, run_outcome::may_have_run, refusal_reason::owner_changed, context);
    return;
  }
  accept_key(held, id, context);
}

void
request_router::implementation::expire_key_queries(event_context& context)
{
  if (max_packet_wait(context.now).count() > 0) {
    return; // After a pause, responses may still be unread in the socket.
  }
  for (const key_query& query : key_queries.expire(context.now)) {
    refuse_request(query.request, run_outcome::may_have_run, refusal_reason::owner_changed, context);
  }
}

}
