#pragma once

#include "delegation_table.h"
#include "hand_off_table.h"
#include "key_query_table.h"
#include "pending_request.h"
#include "request_identity.h"
#include "request_index.h"
#include "run_table.h"

#include "coltsfootlock/coordination/request_router.h"
#include "coltsfootlock/state/key_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfootlock {

/// State and event handlers of the request router. The member functions are defined in request_arrival.cpp (packets
/// from callers and peers), request_owner.cpp (idempotency keys), request_key_query.cpp (keys whose owner changed),
/// request_dispatch.cpp (queues and targets), request_hand_off.cpp (peers), request_outcome.cpp (answers, refusals,
/// timeouts) and request_cancel.cpp.
struct request_router::implementation
{
  /// The event being handled: its time and the list that collects its actions.
  struct event_context
  {
    instant now;
    std::vector<traffic_action>& actions;
  };

  implementation(timing new_times, std::uint64_t new_seed, traffic_counters& new_counters);

  // Common begin and end of every event.
  void begin(event_context& context);
  void detect_pause(instant now);
  milliseconds max_packet_wait(instant now) const;
  void finish(event_context& context);
  void apply_view(std::shared_ptr<const routing_view> next, event_context& context);
  void reassign_queued_requests(event_context& context);

  // request_arrival.cpp
  void request_arrived(const request_packet& value,
                       const forwarded_packet* forwarded,
                       const vm_id& from,
                       event_context& context);
  void idempotent_request_arrived(const request_packet& value,
                                  const forwarded_packet* forwarded,
                                  const vm_id& from,
                                  event_context& context);
  void delegated_run_arrived(const request_packet& value, const vm_id& from, event_context& context);
  pending_request& accept(const request_packet& value,
                          const request_index::service_entry& service,
                          event_context& context);
  void add_waiter(pending_request& request, const request_packet& value, event_context& context);
  void refuse_request(const request_packet& value, run_outcome outcome, refusal_reason reason, event_context& context);
  void drop_packet(std::string_view why, event_context& context);

  // request_owner.cpp
  void keyed_request_arrived(const request_packet& value, std::uint8_t hops, event_context& context);
  void known_key_arrived(key_entry& entry, const request_packet& value, event_context& context);
  void new_key_arrived(const request_packet& value, const key_id& id, event_context& context);
  std::optional<refusal_reason> key_refusal_reason(const request_packet& value, const key_id& id, instant now) const;
  void accept_key(const request_packet& value, const key_id& id, event_context& context);
  key_entry* entry_of(const pending_request& request);

  // request_key_query.cpp
  bool query_previous_owner(const request_packet& value, const key_id& id, event_context& context);
  void key_check_arrived(const request_packet& value, const vm_id& from, event_context& context);
  void key_unused_arrived(const request_packet& value, const vm_id& from, event_context& context);
  void expire_key_queries(event_context& context);

  // request_cancel.cpp
  void cancel_arrived(const cancel_packet& value,
                      const forwarded_packet* forwarded,
                      const vm_id& from,
                      event_context& context);
  void cancel_key(const cancel_packet& value, std::uint8_t hops, event_context& context);
  void cancel_request(pending_request& request, const request_waiter& requester, event_context& context);
  void forward_cancel(pending_request& request, event_context& context);

  // request_dispatch.cpp
  bool may_dispatch(instant now) const;
  bool lacks_usable_targets(const request_group& group) const;
  bool can_delegate(const pending_request& request) const;
  void schedule(std::uint64_t sequence, event_context& context);
  void enqueue(pending_request& request, instant now);
  void dequeue(pending_request& request);
  std::optional<refusal_reason> queue_refusal_reason(const pending_request& request, instant now);
  void dispatch_queued(request_group& group, event_context& context);
  bool dispatch_next(request_group& group, service_class urgency, event_context& context);
  target_admission* pick_target(request_group& group, const std::vector<vm_id>& tried, instant now);
  bool has_untried_target(const request_group& group, const pending_request& request) const;
  void dispatch(pending_request& request, target_admission& target, event_context& context);
  request_packet make_request_packet(const pending_request& request,
                                     milliseconds time,
                                     std::uint64_t run,
                                     instant now) const;

  // request_hand_off.cpp
  bool hand_off_to_chosen_domain(pending_request& request, event_context& context);
  bool offload_to_free_peer(pending_request& request, event_context& context);
  bool hand_off_to_any_peer(pending_request& request, event_context& context);
  void offload_queued(request_group& group, event_context& context);
  std::optional<std::size_t> peer_with_room(const pending_request& request, bool own_domain);
  std::optional<std::size_t> any_peer(const pending_request& request, std::size_t domain, bool in_domain) const;
  std::optional<std::size_t> peer_in_other_domain(const pending_request& request) const;
  void hand_off(pending_request& request, std::size_t peer, event_context& context);
  void delegate(pending_request& request, std::size_t peer, event_context& context);
  void send_to(const request_peer& peer,
               forward_purpose purpose,
               std::uint8_t hops,
               packet content,
               event_context& context);
  void reply_to_owner(const vm_id& owner, packet content, event_context& context);

  // request_outcome.cpp
  void target_answered(const vm_id& from, const answer_packet& value, event_context& context);
  void target_refused(const vm_id& from, const refusal_packet& value, event_context& context);
  void peer_answered(const vm_id& from, const answer_packet& value, event_context& context);
  void peer_refused(const vm_id& from, const refusal_packet& value, event_context& context);
  void report(const vm_id& from, const target_report& value, bool shed, event_context& context);
  request_run* matching_run(const vm_id& from, std::uint64_t run_id, bool at_target);
  void release(request_run& run);
  void run_expired(std::uint64_t run_id, event_context& context);
  bool retry(pending_request& request, event_context& context);
  void complete_with_answer(pending_request& request, std::vector<std::string> segments, event_context& context);
  void complete_with_refusal(pending_request& request,
                             run_outcome outcome,
                             refusal_reason reason,
                             event_context& context);
  void send_answer(const request_waiter& waiter, const std::vector<std::string>& segments, event_context& context);
  void send_refusal(const request_waiter& waiter,
                    run_outcome outcome,
                    refusal_reason reason,
                    bool safe_to_retry,
                    event_context& context);
  void remove_request(const pending_request& request);

  void log(std::string part, std::string text, event_context& context) const;
  void log_target(target_admission& target, std::string_view why, event_context& context) const;
  bool invariant(bool holds, std::string_view name, std::string_view detail);

  timing times;
  std::uint64_t seed;
  traffic_counters& counters;
  std::shared_ptr<const routing_view> view;
  request_index index;
  std::unordered_map<std::uint64_t, pending_request> requests;                            ///< By sequence.
  std::unordered_map<request_identity, std::uint64_t, request_identity_hash> by_identity; ///< Idempotent requests only.
  std::set<std::pair<instant, std::uint64_t>> queue_deadlines;                            ///< Queued requests only.
  run_table runs;
  key_table owned_keys;
  delegation_table delegations;
  hand_off_table hand_offs;
  key_query_table key_queries;
  std::vector<std::uint32_t> groups_to_dispatch; ///< Groups in which a slot was freed during the event.
  std::uint64_t last_sequence = 0;
  std::uint64_t runs_at_targets = 0;
  instant last_event{};
  instant pause_start{}; ///< Last event before the latest pause of this process.
  instant pause_end{};
  instant authority_since{}; ///< Start of the current uninterrupted key authority.
  bool leaving = false;
};

/// The time left until `end`, in milliseconds as in a packet; 0 once it has passed.
inline std::uint32_t
milliseconds_until(instant end, instant now)
{
  return end <= now ? 0 : static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(end - now).count());
}

}
