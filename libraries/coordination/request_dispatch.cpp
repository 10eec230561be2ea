#include "request_router_implementation.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

// A retried request must avoid targets that it has tried, so the requests behind it may use a free target that it
// cannot.
constexpr std::size_t max_scanned_requests = 8;
// A timeout counts against the target only if the run was granted at least this multiple of the mean run time, so that
// short deadlines of callers do not.
constexpr double ample_time_factor = 4;

bool
contains(const std::vector<vm_id>& names, const vm_id& name)
{
  return std::find(names.begin(), names.end(), name) != names.end();
}

}

bool
request_router::implementation::may_dispatch(instant now) const
{
  return view && may_spend(*view, now) && index.own_domain_in_service();
}

bool
request_router::implementation::lacks_usable_targets(const request_group& group) const
{
  return !index.own_domain_in_service() ||
         std::all_of(group.targets.begin(), group.targets.end(), [](const auto* target) { return target->leaving(); });
}

bool
request_router::implementation::can_delegate(const pending_request& request) const
{
  const std::vector<bool>& capacity = index.group(request.group).has_capacity;
  return !request.idempotent() && index.own_domain_in_service() &&
         std::find(capacity.begin(), capacity.end(), true) != capacity.end();
}

void
request_router::implementation::schedule(std::uint64_t sequence, event_context& context)
{
  pending_request& request = requests.at(sequence);
  if (leaving && request.idempotent() && hand_off_to_any_peer(request, context)) {
    return;
  }
  if (request.hand_off_count == 0 && request.idempotent() && hand_off_to_chosen_domain(request, context)) {
    return;
  }
  enqueue(request, context.now);
  dispatch_queued(index.group(request.group), context);
  if (request.current_stage == pending_request::stage::running || offload_to_free_peer(request, context)) {
    return;
  }
  if (const auto refusal = queue_refusal_reason(request, context.now)) {
    const bool elsewhere = *refusal == refusal_reason::no_authority || *refusal == refusal_reason::no_target;
    if (!(elsewhere && request.idempotent() && hand_off_to_any_peer(request, context))) {
      complete_with_refusal(request, run_outcome::not_run, *refusal, context);
    }
    return;
  }
  const std::size_t waiting = index.group(request.group).queues.size();
  log("request",
      "request " + std::to_string(request.first_attempt.request_id) + " queued for " + index.group(request.group).name +
        ": no free slot, " + std::to_string(waiting) + " waiting",
      context);
}

void
request_router::implementation::enqueue(pending_request& request, instant now)
{
  request.current_stage = pending_request::stage::queued;
  request.run = 0;
  index.group(request.group).queues.push(request.urgency, request.sequence, now);
  queue_deadlines.emplace(request.deadline, request.sequence);
}

void
request_router::implementation::dequeue(pending_request& request)
{
  index.group(request.group).queues.remove(request.urgency, request.sequence);
  queue_deadlines.erase({ request.deadline, request.sequence });
}

std::optional<refusal_reason>
request_router::implementation::queue_refusal_reason(const pending_request& request, instant now)
{
  request_group& group = index.group(request.group);
  if (lacks_usable_targets(group) && !can_delegate(request)) {
    return refusal_reason::no_target;
  }
  if (!may_spend(*view, now)) {
    return refusal_reason::no_authority;
  }
  if (leaving) {
    return refusal_reason::leaving;
  }
  const auto* service = index.find_service(request.first_attempt.flow.service);
  if (service == nullptr) {
    return refusal_reason::no_service;
  }
  if (group.queues.waiting(request.urgency).size() > service->definition.queue_limit) {
    return refusal_reason::overloaded;
  }
  std::uint32_t slots = 0;
  for (target_admission* target : group.targets) {
    slots += target->leaving() ? 0 : target->limit(now);
  }
  if (slots == 0) {
    return std::nullopt; // A peer may report a free slot before the deadline.
  }
  const double ahead = static_cast<double>(group.queues.size_up_to(request.urgency) - 1);
  const double start_ms = ahead * group.mean_run_ms / slots;
  const bool in_time = start_ms < static_cast<double>(milliseconds_until(request.deadline, now));
  return in_time ? std::nullopt : std::optional(refusal_reason::overloaded);
}

void
request_router::implementation::dispatch_queued(request_group& group, event_context& context)
{
  bool dispatched = may_dispatch(context.now);
  while (dispatched && !group.queues.empty()) {
    dispatched = false;
    for (const service_class urgency : group.queues.order(context.now)) {
      if (dispatch_next(group, urgency, context)) {
        dispatched = true;
        break;
      }
    }
  }
}

bool
request_router::implementation::dispatch_next(request_group& group, service_class urgency, event_context& context)
{
  std::size_t scanned = 0;
  for (const std::uint64_t sequence : group.queues.waiting(urgency)) {
    if (++scanned > max_scanned_requests) {
      return false;
    }
    pending_request& request = requests.at(sequence);
    target_admission* target = pick_target(group, request.tried, context.now);
    if (target == nullptr || milliseconds_until(request.deadline, context.now) == 0) {
      continue;
    }
    dispatch(request, *target, context);
    return true;
  }
  return false;
}

target_admission*
request_router::implementation::pick_target(request_group& group, const std::vector<vm_id>& tried, instant now)
{
  target_admission* best = nullptr;
  double best_ratio = 0;
  const std::size_t count = group.targets.size();
  for (std::size_t offset = 0; offset < count; ++offset) {
    target_admission* target = group.targets[(group.first_target + offset) % count];
    if (!target->has_room(now) || contains(tried, target->id())) {
      continue;
    }
    const double ratio = static_cast<double>(target->in_flight()) / target->limit(now);
    if (best == nullptr || ratio < best_ratio) {
      best = target;
      best_ratio = ratio;
    }
  }
  if (best != nullptr) {
    ++group.first_target;
  }
  return best;
}

bool
request_router::implementation::has_untried_target(const request_group& group, const pending_request& request) const
{
  return std::any_of(group.targets.begin(), group.targets.end(), [&](const target_admission* target) {
    return !target->leaving() && !contains(request.tried, target->id());
  });
}

void
request_router::implementation::dispatch(pending_request& request, target_admission& target, event_context& context)
{
  const auto* service = index.find_service(request.first_attempt.flow.service);
  invariant(may_dispatch(context.now), "dispatch_needs_authority", target.id());
  invariant(target.in_flight() < target.share(context.now), "runs_within_share", target.id());
  if (key_entry* entry = entry_of(request)) {
    invariant(entry->state == key_state::queued && entry->request == request.sequence, "key_runs_once", request.key);
    entry->state = key_state::sent;
  }
  dequeue(request);
  index.group(request.group).queues.on_dispatch(request.urgency, context.now);
  request.current_stage = pending_request::stage::running;

  const milliseconds max_run_time(service->definition.request_timeout_ms);
  const milliseconds remaining(milliseconds_until(request.deadline, context.now));
  const milliseconds time = std::min(max_run_time, remaining);
  request_run& run = runs.open(request.sequence, context.now, context.now + time + times.run_grace);
  run.target = &target;
  run.executor = target.id();
  const double mean = index.group(request.group).mean_run_ms;
  run.had_ample_time =
    remaining >= max_run_time || (mean > 0 && static_cast<double>(time.count()) >= mean * ample_time_factor);
  request.run = run.id;
  target.on_start();
  ++runs_at_targets;
  ++counters.requests_dispatched;
  ++counters.packets_to_targets;
  context.actions.emplace_back(
    send_to_target{ target.address(), 0, make_request_packet(request, time, run.id, context.now) });
  log("request",
      "request " + std::to_string(request.first_attempt.request_id) + " sent to " + target.id() + ": " +
        std::to_string(target.in_flight()) + " of " + std::to_string(target.limit(context.now)) + " slots used",
      context);
}

request_packet
request_router::implementation::make_request_packet(const pending_request& request,
                                                    milliseconds time,
                                                    std::uint64_t run,
                                                    instant now) const
{
  const auto age = std::chrono::duration_cast<milliseconds>(now - request.first_sent);
  return { request.first_attempt.flow,
           request.first_attempt.request_id,
           request.first_attempt.attempt,
           request.key,
           static_cast<std::uint32_t>(age.count()),
           static_cast<std::uint32_t>(time.count()),
           run,
           request.payload };
}

}
