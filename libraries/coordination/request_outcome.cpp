#include "request_router_implementation.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

// Weight of the newest run in the moving average of run times.
constexpr double newest_weight = 0.1;

// "cold" is used between targets and daemons only; callers get "overloaded" instead.
refusal_reason
reason_for_caller(refusal_reason reason)
{
  return reason == refusal_reason::cold ? refusal_reason::overloaded : reason;
}

}

request_run*
request_router::implementation::matching_run(const vm_id& from, std::uint64_t run_id, bool at_target)
{
  request_run* run = runs.find(run_id);
  if (run == nullptr || (run->target != nullptr) != at_target || run->executor != from) {
    ++counters.answers_unmatched;
    return nullptr;
  }
  return run;
}

void
request_router::implementation::report(const vm_id& from, const target_report& value, bool shed, event_context& context)
{
  const auto found = index.targets().find(from);
  if (found != index.targets().end() && found->second.on_report(value, shed, context.now)) {
    context.actions.emplace_back(report_target{ from, value, shed });
  }
}

void
request_router::implementation::release(request_run& run)
{
  if (run.target != nullptr) {
    invariant(run.target->in_flight() > 0, "slot_released_once", run.executor);
    run.target->on_end();
    --runs_at_targets;
  }
  groups_to_dispatch.push_back(requests.at(run.request).group);
  runs.close(run.id);
}

void
request_router::implementation::target_answered(const vm_id& from, const answer_packet& value, event_context& context)
{
  report(from, value.report, false, context);
  request_run* run = matching_run(from, value.run_id, true);
  if (run == nullptr) {
    return;
  }
  pending_request& request = requests.at(run->request);
  const bool own = value.flow == request.first_attempt.flow && value.request_id == request.first_attempt.request_id;
  if (!own || !run->answer.add(value)) {
    ++counters.answers_unmatched;
    return;
  }
  if (!run->answer.complete()) {
    return;
  }
  const double run_ms = std::chrono::duration<double, std::milli>(context.now - run->started).count();
  double& mean = index.group(request.group).mean_run_ms;
  mean = mean == 0 ? run_ms : mean + newest_weight * (run_ms - mean);
  if (run->target->on_success()) {
    log_target(*run->target, "recovered", context);
  }
  std::vector<std::string> segments = run->answer.take();
  release(*run);
  complete_with_answer(request, std::move(segments), context);
}

void
request_router::implementation::target_refused(const vm_id& from, const refusal_packet& value, event_context& context)
{
  const bool not_run = value.outcome == run_outcome::not_run;
  target_report condition = value.report;
  if (not_run && value.reason == refusal_reason::leaving) {
    condition.condition = target_condition::leaving;
  }
  const bool shed = not_run && (value.reason == refusal_reason::overloaded || value.reason == refusal_reason::cold);
  report(from, condition, shed, context);
  request_run* run = matching_run(from, value.run_id, true);
  if (run == nullptr) {
    return;
  }
  pending_request& request = requests.at(run->request);
  if (value.flow != request.first_attempt.flow || value.request_id != request.first_attempt.request_id) {
    ++counters.answers_unmatched;
    return;
  }
  if (shed && run->target->on_shed(context.now)) {
    log_target(*run->target, "the target shed a request", context);
  }
  request.tried.push_back(run->executor);
  release(*run);
  if (key_entry* entry = entry_of(request); entry != nullptr && not_run) {
    entry->state = key_state::queued;
  }
  const bool final_reason = value.reason == refusal_reason::cancelled || value.reason == refusal_reason::deadline;
  if (!final_reason && (not_run || request.idempotent()) && retry(request, context)) {
    return;
  }
  complete_with_refusal(request, value.outcome, reason_for_caller(value.reason), context);
}

void
request_router::implementation::peer_answered(const vm_id& from, const answer_packet& value, event_context& context)
{
  request_run* run = matching_run(from, value.run_id, false);
  if (run == nullptr) {
    return;
  }
  if (!run->answer.add(value)) {
    ++counters.answers_unmatched;
    return;
  }
  if (!run->answer.complete()) {
    return;
  }
  pending_request& request = requests.at(run->request);
  std::vector<std::string> segments = run->answer.take();
  release(*run);
  complete_with_answer(request, std::move(segments), context);
}

void
request_router::implementation::peer_refused(const vm_id& from, const refusal_packet& value, event_context& context)
{
  request_run* run = matching_run(from, value.run_id, false);
  if (run == nullptr) {
    return;
  }
  pending_request& request = requests.at(run->request);
  release(*run);
  key_entry* entry = entry_of(request);
  const bool not_run = value.outcome == run_outcome::not_run;
  const auto* service = index.find_service(request.first_attempt.flow.service);
  const bool may_go_on = service != nullptr && !request.cancelled && request.deadline > context.now;
  if (entry == nullptr || !not_run || !may_go_on) {
    if (entry != nullptr && not_run) {
      entry->state = key_state::queued;
    }
    complete_with_refusal(request, value.outcome, value.reason, context);
    return;
  }
  entry->state = key_state::queued;
  request.group = service->group;
  request.urgency = service->definition.urgency;
  // The peer's reported free slots were out of date; the next view brings a newer report.
  if (const auto peer = index.find_peer(from)) {
    index.group(request.group).peer_free_slots[*peer] = 0;
  }
  schedule(request.sequence, context);
}

void
request_router::implementation::run_expired(std::uint64_t run_id, event_context& context)
{
  request_run& run = *runs.find(run_id);
  pending_request& request = requests.at(run.request);
  if (run.target != nullptr && run.had_ample_time && run.target->on_timeout(context.now)) {
    log_target(*run.target, run.target->suspect(context.now) ? "suspect after timeouts" : "no answer in time", context);
  }
  request.tried.push_back(run.executor);
  release(run);
  if (request.idempotent() && retry(request, context)) {
    return;
  }
  const bool late = request.deadline <= context.now;
  complete_with_refusal(
    request, run_outcome::may_have_run, late ? refusal_reason::deadline : refusal_reason::target_lost, context);
}

bool
request_router::implementation::retry(pending_request& request, event_context& context)
{
  auto* service = index.find_service(request.first_attempt.flow.service);
  const bool possible = service != nullptr && request.delegation == 0 && !request.cancelled &&
                        milliseconds_until(request.deadline, context.now) > 0;
  if (!possible) {
    return false;
  }
  // The catalogue may have moved the service to another group during the run.
  request.group = service->group;
  request.urgency = service->definition.urgency;
  const bool local = has_untried_target(index.group(request.group), request);
  const auto remote = local || !request.idempotent() ? std::nullopt : peer_in_other_domain(request);
  if ((!local && !remote) || !service->budget->spend()) {
    return false;
  }
  ++counters.requests_retried;
  log("request", "request " + std::to_string(request.first_attempt.request_id) + " retried at another target", context);
  if (remote) {
    hand_off(request, *remote, context);
    return true;
  }
  enqueue(request, context.now);
  return true;
}

void
request_router::implementation::complete_with_answer(pending_request& request,
                                                     std::vector<std::string> segments,
                                                     event_context& context)
{
  if (request.delegation != 0) {
    const auto count = static_cast<std::uint16_t>(segments.size());
    for (std::uint16_t segment = 0; segment < count; ++segment) {
      reply_to_owner(request.source,
                     answer_packet{ request.first_attempt.flow,
                                    request.first_attempt.request_id,
                                    request.first_attempt.attempt,
                                    request.delegation,
                                    segment,
                                    count,
                                    {},
                                    std::move(segments[segment]) },
                     context);
    }
    remove_request(request);
    return;
  }
  for (const request_waiter& waiter : request.waiters) {
    send_answer(waiter, segments, context);
  }
  if (key_entry* entry = entry_of(request)) {
    owned_keys.answer(*entry, std::move(segments));
  }
  remove_request(request);
}

void
request_router::implementation::complete_with_refusal(pending_request& request,
                                                      run_outcome outcome,
                                                      refusal_reason reason,
                                                      event_context& context)
{
  if (request.current_stage == pending_request::stage::queued) {
    dequeue(request);
  }
  if (request.delegation != 0) {
    reply_to_owner(request.source,
                   refusal_packet{ request.first_attempt.flow,
                                   request.first_attempt.request_id,
                                   request.first_attempt.attempt,
                                   request.delegation,
                                   outcome,
                                   reason,
                                   false,
                                   {} },
                   context);
    remove_request(request);
    return;
  }
  key_entry* entry = entry_of(request);
  if (entry != nullptr) {
    invariant(outcome != run_outcome::not_run || entry->state == key_state::queued, "not_run_is_true", request.key);
    key_table::refuse(*entry, outcome, reason);
  }
  // A duplicate of an idempotent request may run through another daemon.
  const run_outcome stated = entry == nullptr ? run_outcome::may_have_run : outcome;
  for (const request_waiter& waiter : request.waiters) {
    send_refusal(waiter, stated, reason, request.idempotent(), context);
  }
  remove_request(request);
}

void
request_router::implementation::send_answer(const request_waiter& waiter,
                                            const std::vector<std::string>& segments,
                                            event_context& context)
{
  ++counters.requests_answered;
  const auto count = static_cast<std::uint16_t>(segments.size());
  for (std::uint16_t segment = 0; segment < count; ++segment) {
    context.actions.emplace_back(send_to_caller{
      answer_packet{ waiter.flow, waiter.request_id, waiter.attempt, 0, segment, count, {}, segments[segment] } });
  }
}

void
request_router::implementation::send_refusal(const request_waiter& waiter,
                                             run_outcome outcome,
                                             refusal_reason reason,
                                             bool safe_to_retry,
                                             event_context& context)
{
  ++counters.refusals[static_cast<std::size_t>(outcome)][static_cast<std::size_t>(reason)];
  context.actions.emplace_back(send_to_caller{
    refusal_packet{ waiter.flow, waiter.request_id, waiter.attempt, 0, outcome, reason, safe_to_retry, {} } });
  log("request",
      "request " + std::to_string(waiter.request_id) + " refused as " + to_string(reason) + ", " + to_string(outcome),
      context);
}

void
request_router::implementation::remove_request(const pending_request& request)
{
  if (request.idempotent()) {
    by_identity.erase({ request.first_attempt.flow, request.first_attempt.request_id });
  }
  requests.erase(request.sequence);
}

}
