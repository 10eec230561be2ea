#include "request_router_implementation.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

// Prevents a request from looping between daemons whose reports of free slots are out of date.
constexpr std::uint8_t max_hand_offs_per_request = 2;
// A peer returns a delegated run that it cannot start at once and never forwards it, so no loop is possible; the bound
// limits the number of messages.
constexpr std::uint8_t max_delegations_per_request = 8;
// The outcome of a delegated run still has to travel back after the run has ended at the peer.
constexpr int delegation_grace_factor = 3;

}

bool
request_router::implementation::hand_off_to_chosen_domain(pending_request& request, event_context& context)
{
  const request_group& group = index.group(request.group);
  const std::uint64_t hash = hash_of(request_identity{ request.first_attempt.flow, request.first_attempt.request_id });
  const auto domain = group.domains.choose(hash);
  if (!domain || *domain == index.own_domain()) {
    return false;
  }
  std::optional<std::size_t> best;
  for (std::size_t peer = 0; peer < index.peers().size(); ++peer) {
    const bool candidate = index.peers()[peer].domain == *domain && index.peers()[peer].accepts_requests;
    if (candidate && group.peer_free_slots[peer] > (best ? group.peer_free_slots[*best] : 0)) {
      best = peer;
    }
  }
  best = best ? best : any_peer(request, *domain, true);
  if (!best) {
    return false;
  }
  hand_off(request, *best, context);
  return true;
}

bool
request_router::implementation::offload_to_free_peer(pending_request& request, event_context& context)
{
  if (request.hand_off_count >= (request.idempotent() ? max_hand_offs_per_request : max_delegations_per_request)) {
    return false;
  }
  auto peer = peer_with_room(request, true);
  if (!peer) {
    peer = peer_with_room(request, false);
  }
  if (!peer) {
    return false;
  }
  if (request.idempotent()) {
    hand_off(request, *peer, context);
  } else {
    delegate(request, *peer, context);
  }
  return true;
}

bool
request_router::implementation::hand_off_to_any_peer(pending_request& request, event_context& context)
{
  if (request.hand_off_count >= max_hand_offs_per_request) {
    return false;
  }
  // Without usable targets in the own domain, other daemons of the domain cannot run the request either.
  const bool pool_unusable = lacks_usable_targets(index.group(request.group));
  auto peer = pool_unusable ? std::nullopt : any_peer(request, index.own_domain(), true);
  if (!peer) {
    const std::uint64_t hash =
      hash_of(request_identity{ request.first_attempt.flow, request.first_attempt.request_id });
    const auto domain = index.group(request.group).domains.choose(hash);
    const bool remote = domain && *domain != index.own_domain();
    peer = remote ? any_peer(request, *domain, true) : peer_in_other_domain(request);
  }
  if (!peer) {
    return false;
  }
  hand_off(request, *peer, context);
  return true;
}

void
request_router::implementation::offload_queued(request_group& group, event_context& context)
{
  if (group.queues.empty()) {
    return;
  }
  for (const service_class urgency : group.queues.order(context.now)) {
    const std::vector<std::uint64_t> waiting(group.queues.waiting(urgency).begin(),
                                             group.queues.waiting(urgency).end());
    for (const std::uint64_t sequence : waiting) {
      pending_request& request = requests.at(sequence);
      if (offload_to_free_peer(request, context)) {
        continue;
      }
      if (!leaving) {
        break;
      }
      if (request.idempotent()) {
        hand_off_to_any_peer(request, context);
      }
    }
  }
}

std::optional<std::size_t>
request_router::implementation::peer_with_room(const pending_request& request, bool own_domain)
{
  const request_group& group = index.group(request.group);
  std::optional<std::size_t> best;
  for (std::size_t peer = 0; peer < index.peers().size(); ++peer) {
    const request_peer& candidate = index.peers()[peer];
    const bool here = candidate.domain == index.own_domain();
    if (!candidate.accepts_requests || here != own_domain || candidate.id == request.source) {
      continue;
    }
    if (group.peer_free_slots[peer] > (best ? group.peer_free_slots[*best] : 0)) {
      best = peer;
    }
  }
  return best;
}

std::optional<std::size_t>
request_router::implementation::any_peer(const pending_request& request, std::size_t domain, bool in_domain) const
{
  const std::uint64_t hash =
    hash_of(request_identity{ request.first_attempt.flow, request.first_attempt.request_id }) ^ seed;
  std::optional<std::size_t> best;
  std::uint64_t best_score = 0;
  for (std::size_t peer = 0; peer < index.peers().size(); ++peer) {
    const request_peer& candidate = index.peers()[peer];
    if (!candidate.accepts_requests || (candidate.domain == domain) != in_domain || candidate.id == request.source ||
        !index.group(request.group).has_capacity[candidate.domain]) {
      continue;
    }
    const std::uint64_t score = rendezvous_score(hash, candidate.id);
    if (!best || score > best_score) {
      best = peer;
      best_score = score;
    }
  }
  return best;
}

std::optional<std::size_t>
request_router::implementation::peer_in_other_domain(const pending_request& request) const
{
  if (request.hand_off_count >= max_hand_offs_per_request) {
    return std::nullopt;
  }
  return any_peer(request, index.own_domain(), false);
}

void
request_router::implementation::hand_off(pending_request& request, std::size_t peer, event_context& context)
{
  const request_peer& receiver = index.peers()[peer];
  std::uint32_t& free = index.group(request.group).peer_free_slots[peer];
  free -= free > 0 ? 1 : 0;
  dequeue(request);
  log("request",
      "request " + std::to_string(request.first_attempt.request_id) + " handed off to " + receiver.id + " for " +
        index.group(request.group).name,
      context);
  const milliseconds left(milliseconds_until(request.deadline, context.now));
  for (const request_waiter& waiter : request.waiters) {
    request_packet content = make_request_packet(request, left, 0, context.now);
    content.attempt = waiter.attempt;
    send_to(receiver, forward_purpose::hand_off, request.hand_off_count + 1, std::move(content), context);
  }
  hand_offs.insert_or_assign(
    { request.first_attempt.flow, request.first_attempt.request_id }, receiver.id, request.deadline);
  remove_request(request);
}

void
request_router::implementation::delegate(pending_request& request, std::size_t peer, event_context& context)
{
  const request_peer& receiver = index.peers()[peer];
  key_entry* entry = entry_of(request);
  const bool queued = entry != nullptr && entry->state == key_state::queued;
  invariant(queued, "key_runs_once", request.key);
  if (!queued) {
    return;
  }
  entry->state = key_state::sent;
  --index.group(request.group).peer_free_slots[peer];
  dequeue(request);
  index.group(request.group).queues.on_dispatch(request.urgency, context.now);
  request.current_stage = pending_request::stage::running;
  ++request.hand_off_count;
  const auto* service = index.find_service(request.first_attempt.flow.service);
  const milliseconds time = std::min(milliseconds(service->definition.request_timeout_ms),
                                     milliseconds(milliseconds_until(request.deadline, context.now)));
  const instant end = context.now + time + times.run_grace * delegation_grace_factor;
  request_run& run = runs.open(request.sequence, context.now, end);
  run.executor = receiver.id;
  request.run = run.id;
  log("request",
      "request " + std::to_string(request.first_attempt.request_id) + " delegated to " + receiver.id +
        "; this daemon owns its key",
      context);
  send_to(receiver, forward_purpose::hand_off, 1, make_request_packet(request, time, run.id, context.now), context);
}

void
request_router::implementation::send_to(const request_peer& peer,
                                        forward_purpose purpose,
                                        std::uint8_t hops,
                                        packet content,
                                        event_context& context)
{
  ++counters.packets_to_peers;
  counters.packets_across_domains += peer.domain == index.own_domain() ? 0 : 1;
  forwarded_packet message;
  message.entry = view->self;
  message.purpose = purpose;
  message.hops = hops;
  message.content = std::move(content);
  context.actions.emplace_back(send_to_peer{ peer.id, peer.address, std::move(message) });
}

void
request_router::implementation::reply_to_owner(const vm_id& owner, packet content, event_context& context)
{
  const auto peer = index.find_peer(owner);
  if (!peer || !index.peers()[*peer].in_service) {
    drop_packet("the owner of the key is not listed or its domain is out of service", context);
    return;
  }
  send_to(index.peers()[*peer], forward_purpose::hand_off, 1, std::move(content), context);
}

}
