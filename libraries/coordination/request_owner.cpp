#include "key_ownership.h"
#include "request_router_implementation.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

// The entry daemon forwards to the owner; a daemon whose view is older may forward once more.
constexpr std::uint8_t max_owner_hops = 2;

}

void
request_router::implementation::keyed_request_arrived(const request_packet& value,
                                                      std::uint8_t hops,
                                                      event_context& context)
{
  const key_id id{ value.flow.service, value.idempotency_key };
  if (key_entry* entry = owned_keys.find(id)) {
    known_key_arrived(*entry, value, context);
    return;
  }
  const vm_id owner = key_owner(*view, hash_of(id));
  if (owner == view->self) {
    new_key_arrived(value, id, context);
    return;
  }
  const auto peer = index.find_peer(owner);
  if (!peer || !index.peers()[*peer].reachable) {
    refuse_request(value, run_outcome::may_have_run, refusal_reason::owner_unreachable, context);
    return;
  }
  if (hops >= max_owner_hops) {
    refuse_request(value, run_outcome::may_have_run, refusal_reason::owner_changed, context);
    return;
  }
  request_packet content = value;
  content.run_id = 0;
  log("request",
      "request " + std::to_string(value.request_id) + " forwarded to " + owner + ", the owner of its key",
      context);
  send_to(index.peers()[*peer], forward_purpose::run_at_owner, hops + 1, std::move(content), context);
}

void
request_router::implementation::known_key_arrived(key_entry& entry, const request_packet& value, event_context& context)
{
  if (entry.payload_hash != 0 && entry.payload_hash != hash_text(value.payload)) {
    log("request", "key " + value.idempotency_key + " was already used with a different payload", context);
    refuse_request(value, run_outcome::may_have_run, refusal_reason::key_conflict, context);
    return;
  }
  switch (entry.state) {
    case key_state::queued:
    case key_state::sent:
      add_waiter(requests.at(entry.request), value, context);
      return;
    case key_state::answered:
      if (entry.answer) {
        send_answer({ value.flow, value.request_id, value.attempt }, *entry.answer, context);
        return;
      }
      // The request ran, but its answer did not fit into the memory limit for answers.
      refuse_request(value, run_outcome::may_have_run, refusal_reason::overloaded, context);
      return;
    case key_state::refused:
      refuse_request(value, entry.outcome, entry.reason, context);
      return;
  }
}

void
request_router::implementation::new_key_arrived(const request_packet& value, const key_id& id, event_context& context)
{
  if (key_queries.contains(value)) {
    drop_packet("duplicate of a request whose key is being checked", context);
    return;
  }
  if (const auto refusal = key_refusal_reason(value, id, context.now)) {
    if (*refusal != refusal_reason::owner_changed || leaving || !query_previous_owner(value, id, context)) {
      refuse_request(value, run_outcome::may_have_run, *refusal, context);
    }
    return;
  }
  accept_key(value, id, context);
}

void
request_router::implementation::accept_key(const request_packet& value, const key_id& id, event_context& context)
{
  key_entry* entry = owned_keys.insert(id, context.now);
  if (entry == nullptr) {
    refuse_request(value, run_outcome::may_have_run, refusal_reason::overloaded, context);
    return;
  }
  entry->payload_hash = hash_text(value.payload);
  if (value.deadline_ms == 0) {
    key_table::refuse(*entry, run_outcome::not_run, refusal_reason::deadline);
    refuse_request(value, run_outcome::not_run, refusal_reason::deadline, context);
    return;
  }
  pending_request& request = accept(value, *index.find_service(value.flow.service), context);
  entry->request = request.sequence;
  schedule(request.sequence, context);
}

std::optional<refusal_reason>
request_router::implementation::key_refusal_reason(const request_packet& value, const key_id& id, instant now) const
{
  if (!may_accept_keys(*view, now)) {
    return refusal_reason::no_authority;
  }
  const std::uint64_t hash = hash_of(id);
  const auto since = owner_since(*view, hash);
  if (leaving || !index.own_domain_in_service() || !owns_under_all_sets(*view, hash) || !since) {
    return refusal_reason::owner_changed;
  }
  const milliseconds age(value.age_ms);
  if (age >= times.key_retention) {
    return refusal_reason::too_old;
  }
  // A key that was first sent before this daemon became the owner may have run at the previous owner.
  if (now - age - times.max_packet_lifetime <= std::max(*since, authority_since)) {
    return refusal_reason::owner_changed;
  }
  return std::nullopt;
}

key_entry*
request_router::implementation::entry_of(const pending_request& request)
{
  if (request.idempotent() || request.delegation != 0) {
    return nullptr;
  }
  return owned_keys.find({ request.first_attempt.flow.service, request.key });
}

}
