#include "request_router_implementation.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

// Longer deadlines of callers are cut to this; it is well below the retention of keys.
constexpr milliseconds max_deadline{ 120000 };
constexpr std::size_t max_waiters = 16;

}

void
request_router::implementation::request_arrived(const request_packet& value,
                                                const forwarded_packet* forwarded,
                                                const vm_id& from,
                                                event_context& context)
{
  if (!view) {
    drop_packet("no routing view received yet", context);
    return;
  }
  const bool handed = forwarded != nullptr && forwarded->purpose == forward_purpose::hand_off;
  if (handed && !value.idempotency_key.empty()) {
    delegated_run_arrived(value, from, context);
    return;
  }
  if (forwarded != nullptr && forwarded->purpose == forward_purpose::key_check) {
    key_check_arrived(value, from, context);
    return;
  }
  if (forwarded != nullptr && forwarded->purpose == forward_purpose::key_unused) {
    key_unused_arrived(value, from, context);
    return;
  }
  if (forwarded != nullptr && forwarded->purpose == forward_purpose::key_in_use) {
    key_queries.close(value, from);
    return;
  }
  if (index.find_service(value.flow.service) == nullptr) {
    refuse_request(value, run_outcome::may_have_run, refusal_reason::no_service, context);
    return;
  }
  if (value.idempotency_key.empty()) {
    idempotent_request_arrived(value, forwarded, from, context);
    return;
  }
  const std::uint8_t hops = forwarded == nullptr ? 0 : forwarded->hops;
  const milliseconds waited = max_packet_wait(context.now);
  if (waited.count() == 0) {
    keyed_request_arrived(value, hops, context);
    return;
  }
  // A packet that waited in the socket during a pause is older than its age field states. Without the correction a
  // daemon that became the owner during the pause would accept the key as new.
  request_packet aged = value;
  aged.age_ms += static_cast<std::uint32_t>(waited.count());
  keyed_request_arrived(aged, hops, context);
}

void
request_router::implementation::idempotent_request_arrived(const request_packet& value,
                                                           const forwarded_packet* forwarded,
                                                           const vm_id& from,
                                                           event_context& context)
{
  const auto known = by_identity.find({ value.flow, value.request_id });
  if (known != by_identity.end()) {
    add_waiter(requests.at(known->second), value, context);
    return;
  }
  if (value.deadline_ms == 0) {
    refuse_request(value, run_outcome::may_have_run, refusal_reason::deadline, context);
    return;
  }
  pending_request& request = accept(value, *index.find_service(value.flow.service), context);
  by_identity[{ value.flow, value.request_id }] = request.sequence;
  if (forwarded != nullptr) {
    request.source = from;
    request.hand_off_count = forwarded->hops;
  }
  schedule(request.sequence, context);
}

void
request_router::implementation::delegated_run_arrived(const request_packet& value,
                                                      const vm_id& from,
                                                      event_context& context)
{
  const milliseconds time = std::min(milliseconds(value.deadline_ms), max_deadline);
  if (!delegations.admit(from, value.run_id, context.now + time + times.max_packet_lifetime)) {
    drop_packet("duplicate of a run that the key owner delegated, or too many delegated runs", context);
    return;
  }
  const auto* service = index.find_service(value.flow.service);
  request_group* group = service == nullptr ? nullptr : &index.group(service->group);
  const bool served_next = group != nullptr && group->queues.size_up_to(service->definition.urgency) == 0;
  target_admission* target = served_next && may_dispatch(context.now) && !leaving && time >= milliseconds(1)
                               ? pick_target(*group, {}, context.now)
                               : nullptr;
  if (target == nullptr) {
    reply_to_owner(from,
                   refusal_packet{ value.flow,
                                   value.request_id,
                                   value.attempt,
                                   value.run_id,
                                   run_outcome::not_run,
                                   refusal_reason::overloaded,
                                   false,
                                   {} },
                   context);
    return;
  }
  pending_request& request = accept(value, *service, context);
  request.source = from;
  request.delegation = value.run_id;
  delegations.bind(from, value.run_id, request.sequence);
  enqueue(request, context.now);
  dispatch(request, *target, context);
}

pending_request&
request_router::implementation::accept(const request_packet& value,
                                       const request_index::service_entry& service,
                                       event_context& context)
{
  service.budget->on_request();
  const std::uint64_t sequence = ++last_sequence;
  pending_request& request = requests[sequence];
  request.sequence = sequence;
  request.first_attempt = { value.flow, value.request_id, value.attempt };
  request.waiters = { request.first_attempt };
  request.key = value.idempotency_key;
  request.payload = value.payload;
  request.first_sent = context.now - milliseconds(value.age_ms);
  request.deadline = context.now + std::min(milliseconds(value.deadline_ms), max_deadline);
  request.group = service.group;
  request.urgency = service.definition.urgency;
  return request;
}

void
request_router::implementation::add_waiter(pending_request& request,
                                           const request_packet& value,
                                           event_context& context)
{
  const request_waiter waiter{ value.flow, value.request_id, value.attempt };
  if (std::find(request.waiters.begin(), request.waiters.end(), waiter) != request.waiters.end()) {
    drop_packet("duplicate of a request in progress", context);
    return;
  }
  if (request.waiters.size() >= max_waiters) {
    refuse_request(value, run_outcome::may_have_run, refusal_reason::overloaded, context);
    return;
  }
  request.waiters.push_back(waiter);
  const instant deadline = context.now + std::min(milliseconds(value.deadline_ms), max_deadline);
  if (request.current_stage == pending_request::stage::queued && deadline > request.deadline) {
    queue_deadlines.erase({ request.deadline, request.sequence });
    request.deadline = deadline;
    queue_deadlines.emplace(deadline, request.sequence);
  }
}

void
request_router::implementation::refuse_request(const request_packet& value,
                                               run_outcome outcome,
                                               refusal_reason reason,
                                               event_context& context)
{
  send_refusal(
    { value.flow, value.request_id, value.attempt }, outcome, reason, value.idempotency_key.empty(), context);
}

void
request_router::implementation::drop_packet(std::string_view why, event_context& context)
{
  ++counters.packets_dropped;
  log("request", "dropped: " + std::string(why), context);
}

}
