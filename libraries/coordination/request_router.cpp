#include "request_router_implementation.h"

#include "coltsfootlock/coordination/invariant.h"

#include "key_ownership.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

// tick() is called at least every 50 ms; a longer gap than this means that the process was paused or starved.
constexpr milliseconds pause_threshold{ 250 };
// Packets that arrived during a pause are read from the sockets within this time after it.
constexpr seconds backlog_window{ 2 };
constexpr std::size_t max_stored_answer_bytes = std::size_t{ 128 } * 1024 * 1024;
constexpr std::size_t max_delegations = 65536;
constexpr std::size_t max_hand_offs = 65536;
constexpr std::size_t max_key_queries = 4096;
// Far above a round trip between domains (7 ms), but short, because the caller waits for it.
constexpr milliseconds key_query_timeout{ 500 };

}

request_router::implementation::implementation(timing new_times, std::uint64_t new_seed, traffic_counters& new_counters)
  : times(new_times)
  , seed(new_seed)
  , counters(new_counters)
  // A key must be kept longer than any packet that still passes the age check; the extra second is a margin for the
  // clock of the caller.
  , owned_keys(new_times.max_keys,
               max_stored_answer_bytes,
               new_times.key_retention + new_times.max_packet_lifetime + seconds(1))
  , delegations(max_delegations)
  , hand_offs(max_hand_offs)
  , key_queries(max_key_queries, key_query_timeout)
{
}

void
request_router::implementation::detect_pause(instant now)
{
  if (last_event != instant{} && now - last_event > pause_threshold) {
    // The backlog of an earlier pause may still be unread.
    const bool separate = pause_end == instant{} || last_event > pause_end + backlog_window;
    pause_start = separate ? last_event : pause_start;
    pause_end = now;
  }
  last_event = now;
}

milliseconds
request_router::implementation::max_packet_wait(instant now) const
{
  if (pause_end == instant{} || now > pause_end + backlog_window) {
    return milliseconds(0);
  }
  return std::chrono::ceil<milliseconds>(now - pause_start);
}

void
request_router::implementation::begin(event_context& context)
{
  detect_pause(context.now);
  owned_keys.expire(context.now);
  // A duplicate that waited in the socket during a pause must still be detected.
  delegations.expire(context.now - max_packet_wait(context.now));
  hand_offs.expire(context.now);
  expire_key_queries(context);
  // Expired deadlines are handled first, so that a daemon that resumes after a pause neither accepts a late answer nor
  // dispatches a request whose caller no longer waits.
  while (const auto run = runs.expired(context.now)) {
    run_expired(*run, context);
  }
  while (!queue_deadlines.empty() && queue_deadlines.begin()->first <= context.now) {
    pending_request& request = requests.at(queue_deadlines.begin()->second);
    complete_with_refusal(request, run_outcome::not_run, refusal_reason::deadline, context);
  }
}

void
request_router::implementation::finish(event_context& context)
{
  while (!groups_to_dispatch.empty()) {
    const std::uint32_t group = groups_to_dispatch.back();
    groups_to_dispatch.pop_back();
    dispatch_queued(index.group(group), context);
  }
  counters.in_flight = runs_at_targets;
  counters.queued = queue_deadlines.size();
  counters.keys = owned_keys.size();
}

void
request_router::implementation::apply_view(std::shared_ptr<const routing_view> next, event_context& context)
{
  if (view && next->sequence < view->sequence) {
    return;
  }
  // After a lapse another daemon may have owned the keys in between, even if the settled set is the same again.
  if (!view || !may_accept_keys(*view, context.now)) {
    authority_since = context.now;
  }
  view = std::move(next);
  runs.set_boot(view->boot_id);
  index.rebuild(*view);
  reassign_queued_requests(context);
}

void
request_router::implementation::reassign_queued_requests(event_context& context)
{
  std::vector<std::uint64_t> queued;
  for (const auto& [deadline, sequence] : queue_deadlines) {
    queued.push_back(sequence);
  }
  std::sort(queued.begin(), queued.end());
  for (const std::uint64_t sequence : queued) {
    pending_request& request = requests.at(sequence);
    const auto* service = index.find_service(request.first_attempt.flow.service);
    if (service == nullptr) {
      complete_with_refusal(request, run_outcome::not_run, refusal_reason::no_service, context);
      continue;
    }
    if (service->group != request.group || service->definition.urgency != request.urgency) {
      dequeue(request);
      request.group = service->group;
      request.urgency = service->definition.urgency;
      enqueue(request, context.now);
    }
    if (!lacks_usable_targets(index.group(request.group)) || can_delegate(request)) {
      continue;
    }
    if (!(request.idempotent() && hand_off_to_any_peer(request, context))) {
      complete_with_refusal(request, run_outcome::not_run, refusal_reason::no_target, context);
    }
  }
  for (request_group& group : index.groups()) {
    dispatch_queued(group, context);
    offload_queued(group, context);
  }
}

void
request_router::implementation::log(std::string part, std::string text, event_context& context) const
{
  context.actions.emplace_back(log_decision{ std::move(part), std::move(text) });
}

void
request_router::implementation::log_target(target_admission& target, std::string_view why, event_context& context) const
{
  std::string text = target.id();
  text.append(": limit ").append(std::to_string(target.limit(context.now)));
  text.append(" of share ").append(std::to_string(target.share(context.now))).append(", ").append(why);
  log("target", std::move(text), context);
}

bool
request_router::implementation::invariant(bool holds, std::string_view name, std::string_view detail)
{
  if (!holds) {
    ++counters.invariant_failures;
  }
  return check_invariant(holds, name, detail);
}

request_router::request_router(timing times, std::uint64_t seed, traffic_counters& counters)
  : implementation_(std::make_unique<implementation>(times, seed, counters))
{
}

request_router::~request_router() = default;
request_router::request_router(request_router&&) noexcept = default;

void
request_router::set_view(std::shared_ptr<const routing_view> view, instant now, std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  implementation_->begin(context);
  implementation_->apply_view(std::move(view), context);
  implementation_->finish(context);
}

void
request_router::on_caller_packet(const packet& value, instant now, std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  implementation_->begin(context);
  if (const auto* request = std::get_if<request_packet>(&value)) {
    ++implementation_->counters.requests_received;
    implementation_->request_arrived(*request, nullptr, {}, context);
  } else if (const auto* cancel = std::get_if<cancel_packet>(&value)) {
    implementation_->cancel_arrived(*cancel, nullptr, {}, context);
  } else {
    implementation_->drop_packet("unexpected packet type from a caller", context);
  }
  implementation_->finish(context);
}

void
request_router::on_forwarded(const vm_id& from,
                             const forwarded_packet& value,
                             instant now,
                             std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  implementation_->begin(context);
  if (const auto* request = std::get_if<request_packet>(&value.content)) {
    implementation_->request_arrived(*request, &value, from, context);
  } else if (const auto* cancel = std::get_if<cancel_packet>(&value.content)) {
    implementation_->cancel_arrived(*cancel, &value, from, context);
  } else if (const auto* answer = std::get_if<answer_packet>(&value.content)) {
    implementation_->peer_answered(from, *answer, context);
  } else if (const auto* refusal = std::get_if<refusal_packet>(&value.content)) {
    implementation_->peer_refused(from, *refusal, context);
  } else {
    implementation_->drop_packet("unexpected packet type from a peer", context);
  }
  implementation_->finish(context);
}

void
request_router::on_target_packet(const vm_id& from,
                                 const packet& value,
                                 instant now,
                                 std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  implementation_->begin(context);
  if (const auto* answer = std::get_if<answer_packet>(&value)) {
    implementation_->target_answered(from, *answer, context);
  } else if (const auto* refusal = std::get_if<refusal_packet>(&value)) {
    implementation_->target_refused(from, *refusal, context);
  } else {
    implementation_->drop_packet("unexpected packet type from a target", context);
  }
  implementation_->finish(context);
}

void
request_router::tick(instant now, std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  implementation_->begin(context);
  for (request_group& group : implementation_->index.groups()) {
    implementation_->dispatch_queued(group, context);
    implementation_->offload_queued(group, context);
  }
  implementation_->finish(context);
}

void
request_router::begin_leaving(instant now, std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  implementation_->begin(context);
  implementation_->leaving = true;
  for (request_group& group : implementation_->index.groups()) {
    implementation_->offload_queued(group, context);
  }
  implementation_->finish(context);
}

bool
request_router::finished() const
{
  return implementation_->requests.empty();
}

std::vector<group_capacity>
request_router::capacity(instant now) const
{
  std::vector<group_capacity> result;
  for (const request_group& group : implementation_->index.groups()) {
    std::uint32_t free = 0;
    for (target_admission* target : group.targets) {
      free += target->has_room(now) ? target->limit(now) - target->in_flight() : 0;
    }
    const auto waiting = static_cast<std::uint32_t>(group.queues.size());
    const bool usable = implementation_->may_dispatch(now) && !implementation_->leaving && free > waiting;
    result.push_back({ group.name, usable ? free - waiting : 0 });
  }
  return result;
}

void
request_router::add_use(std::vector<target_use>& use, instant now) const
{
  for (target_use& each : use) {
    const auto found = implementation_->index.targets().find(each.target);
    if (found == implementation_->index.targets().end()) {
      continue;
    }
    target_admission& target = found->second;
    each.in_flight = target.in_flight();
    each.slot_share = target.share(now);
    each.adaptive_limit = target.adaptive_limit(now);
    each.suspect = target.suspect(now);
  }
}

std::string
request_router::explain(const flow_key& flow, const std::string& idempotency_key, instant now) const
{
  implementation& self = *implementation_;
  const auto* service = self.view ? self.index.find_service(flow.service) : nullptr;
  if (service == nullptr) {
    return "no service at " + to_string(flow.service);
  }
  const request_group& group = self.index.group(service->group);
  std::string text = "service " + service->definition.name + ", group " + group.name;
  text += ", queued " + std::to_string(group.queues.size());
  text += may_spend(*self.view, now) ? ", shares in use" : ", no authority to use shares";
  if (idempotency_key.empty()) {
    return text;
  }
  const key_id id{ flow.service, idempotency_key };
  text += ", owner of the key " + key_owner(*self.view, hash_of(id));
  if (const key_entry* entry = self.owned_keys.find(id)) {
    static constexpr const char* names[] = { "queued", "sent", "answered", "refused" };
    text += std::string(", key ") + names[static_cast<std::size_t>(entry->state)] + " here";
  }
  return text;
}

}
