#include "key_ownership.h"
#include "request_router_implementation.h"

#include <algorithm>

namespace coltsfootlock {

void
request_router::implementation::cancel_arrived(const cancel_packet& value,
                                               const forwarded_packet* forwarded,
                                               const vm_id& from,
                                               event_context& context)
{
  if (!view) {
    drop_packet("no routing view received yet", context);
    return;
  }
  const std::uint8_t hops = forwarded == nullptr ? 0 : forwarded->hops;
  if (forwarded != nullptr && value.run_id != 0) {
    const auto request = requests.find(delegations.request_of(from, value.run_id));
    if (request != requests.end()) {
      forward_cancel(request->second, context);
    }
    return;
  }
  if (!value.idempotency_key.empty()) {
    cancel_key(value, hops, context);
    return;
  }
  const request_identity identity{ value.flow, value.request_id };
  const auto known = by_identity.find(identity);
  if (known != by_identity.end()) {
    cancel_request(requests.at(known->second), { value.flow, value.request_id, value.attempt }, context);
    return;
  }
  const vm_id* peer_id = hand_offs.find(identity);
  const auto peer = peer_id == nullptr ? std::nullopt : index.find_peer(*peer_id);
  if (!peer || !index.peers()[*peer].reachable || hops >= 2) {
    drop_packet("cancel for an unknown request", context);
    return;
  }
  send_to(index.peers()[*peer], forward_purpose::hand_off, hops + 1, value, context);
}

void
request_router::implementation::cancel_key(const cancel_packet& value, std::uint8_t hops, event_context& context)
{
  const key_id id{ value.flow.service, value.idempotency_key };
  const request_waiter requester{ value.flow, value.request_id, value.attempt };
  if (key_entry* entry = owned_keys.find(id)) {
    // The outcome of a completed request has already been sent to the caller.
    if (entry->state == key_state::queued || entry->state == key_state::sent) {
      cancel_request(requests.at(entry->request), requester, context);
    }
    return;
  }
  const vm_id owner = key_owner(*view, hash_of(id));
  if (owner != view->self) {
    const auto peer = index.find_peer(owner);
    if (peer && index.peers()[*peer].reachable && hops < 2) {
      cancel_packet content = value;
      content.run_id = 0;
      send_to(index.peers()[*peer], forward_purpose::run_at_owner, hops + 1, std::move(content), context);
    }
    return;
  }
  // The cancel arrived before its request. A cancel carries no age, so a previous owner may have run the key.
  key_entry* entry = may_accept_keys(*view, context.now) ? owned_keys.insert(id, context.now) : nullptr;
  if (entry != nullptr) {
    key_table::refuse(*entry, run_outcome::may_have_run, refusal_reason::cancelled);
  }
  send_refusal(requester, run_outcome::may_have_run, refusal_reason::cancelled, false, context);
}

void
request_router::implementation::cancel_request(pending_request& request,
                                               const request_waiter& requester,
                                               event_context& context)
{
  const auto others = std::count_if(request.waiters.begin(), request.waiters.end(), [&](const auto& waiter) {
    return waiter.flow != requester.flow || waiter.request_id != requester.request_id;
  });
  const auto own = request.waiters.size() - static_cast<std::size_t>(others);
  if (own == 0) {
    drop_packet("cancel from a caller that is not waiting for this request", context);
    return;
  }
  if (others == 0) {
    if (request.current_stage == pending_request::stage::queued) {
      complete_with_refusal(request, run_outcome::not_run, refusal_reason::cancelled, context);
    } else {
      forward_cancel(request, context);
    }
    return;
  }
  // Another caller still waits for the same key, so only the caller that cancelled is released.
  std::vector<request_waiter> kept;
  for (const request_waiter& waiter : request.waiters) {
    if (waiter.flow != requester.flow || waiter.request_id != requester.request_id) {
      kept.push_back(waiter);
      continue;
    }
    send_refusal(waiter, run_outcome::may_have_run, refusal_reason::cancelled, request.idempotent(), context);
  }
  request.waiters = std::move(kept);
}

void
request_router::implementation::forward_cancel(pending_request& request, event_context& context)
{
  request.cancelled = true;
  const request_run* run = runs.find(request.run);
  if (run == nullptr) {
    return;
  }
  cancel_packet content{ request.first_attempt.flow,
                         request.first_attempt.request_id,
                         request.first_attempt.attempt,
                         request.key,
                         request.run };
  if (run->target != nullptr) {
    ++counters.packets_to_targets;
    context.actions.emplace_back(send_to_target{ run->target->address(), 0, std::move(content) });
    return;
  }
  if (const auto peer = index.find_peer(run->executor)) {
    send_to(index.peers()[*peer], forward_purpose::hand_off, 1, std::move(content), context);
  }
}

}
