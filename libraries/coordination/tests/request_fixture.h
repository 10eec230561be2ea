#pragma once

#include "coltsfootlock/coordination/invariant.h"
#include "coltsfootlock/coordination/request_router.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootlock {

/// Router "a1" of domain "a" with a routing view that tests can change and publish.
struct request_fixture
{
  static constexpr endpoint urgent{ 10, 1 };
  static constexpr endpoint normal{ 10, 2 };
  static constexpr endpoint bulk{ 10, 3 };

  request_fixture()
  {
    abort_on_invariant_failure(true);
    entries.version = 1;
    entries.failure_domains = { { "a", true }, { "b", true } };
    const target_limits limits{ 2, 10, 1, 1, 0 };
    entries.services = { { "u", "owner", service_class::urgent, urgent, "g", limits, 1000, 256 },
                         { "n", "owner", service_class::normal, normal, "g", limits, 1000, 256 },
                         { "b", "owner", service_class::bulk, bulk, "g", limits, 1000, 256 } };
    view.self = "a1";
    view.domain = "a";
    view.boot_id = 7;
    view.state = daemon_state::serving;
    view.vms = std::make_shared<vm_list>();
    view.spending_sets = { { { "a1" }, { "a" } } };
    view.ownership = { { instant(seconds(900)), view.spending_sets.front() } };
    view.spend_authority_until = instant(seconds(100000));
    view.key_authority_until = view.spend_authority_until;
    add_member("a", "a1");
    add_target("t1");
    publish();
    wait_in_steps(seconds(3)); // Keys are accepted only if first sent after the first view.
    clear_actions();
  }

  member_view& add_member(const std::string& domain, const vm_id& id)
  {
    auto& members = view.domains[domain].members;
    members.push_back({ { id, domain, false, {}, { 1, 1 }, {} }, true, daemon_state::serving, {} });
    return members.back();
  }

  void add_target(const vm_id& id)
  {
    view.targets[id].vm = { id, "a", false, "g", { 20, static_cast<std::uint16_t>(id.back()) }, {}, 1 };
    view.targets[id].incarnation = 1;
  }

  void publish()
  {
    ++view.sequence;
    auto list = std::make_shared<vm_list>();
    for (const auto& [id, target] : view.targets) {
      list->targets.push_back(target.vm);
    }
    view.vms = std::move(list);
    view.services = std::make_shared<catalogue>(entries);
    router.set_view(std::make_shared<routing_view>(view), now, actions);
  }

  /// Waits in steps below the gap that the router treats as a pause of the process.
  void wait_in_steps(milliseconds time)
  {
    for (const instant end = now + time; now < end;) {
      wait(milliseconds(100));
    }
  }

  static request_packet request(std::uint64_t id, endpoint service = normal, std::string key = {})
  {
    return { { { 30, 3 }, service }, id, 1, std::move(key), 0, 900, 0, "payload" };
  }

  void send(const packet& value) { router.on_caller_packet(value, now, actions); }
  void from_target(const vm_id& id, const packet& value) { router.on_target_packet(id, value, now, actions); }
  void wait(milliseconds time)
  {
    now += time;
    router.tick(now, actions);
  }

  static answer_packet answer_to(const request_packet& run, std::uint16_t segment = 0, std::uint16_t count = 1)
  {
    return { run.flow, run.request_id, run.attempt, run.run_id, segment, count, { 1, target_condition::serving }, "x" };
  }

  static refusal_packet refusal_of(const request_packet& run, run_outcome outcome, refusal_reason reason)
  {
    return {
      run.flow, run.request_id, run.attempt, run.run_id, outcome, reason, false, { 1, target_condition::serving }
    };
  }

  /// The packets of one kind that the router sent to targets or callers since the last call of clear_actions().
  template<typename Action, typename Packet>
  std::vector<Packet> sent() const
  {
    std::vector<Packet> found;
    for (const traffic_action& action : actions) {
      const auto* sending = std::get_if<Action>(&action);
      const auto* value = sending == nullptr ? nullptr : std::get_if<Packet>(&sending->content);
      if (value != nullptr) {
        found.push_back(*value);
      }
    }
    return found;
  }
  auto runs() const { return sent<send_to_target, request_packet>(); }
  auto answers() const { return sent<send_to_caller, answer_packet>(); }
  auto refusals() const { return sent<send_to_caller, refusal_packet>(); }

  /// What the router sent to peers since the last call of clear_actions().
  std::vector<std::pair<vm_id, forwarded_packet>> forwarded() const
  {
    std::vector<std::pair<vm_id, forwarded_packet>> found;
    for (const traffic_action& action : actions) {
      if (const auto* sending = std::get_if<send_to_peer>(&action)) {
        found.emplace_back(sending->peer, std::get<forwarded_packet>(sending->message));
      }
    }
    return found;
  }
  void clear_actions() { actions.clear(); }

  instant now{ seconds(1000) };
  catalogue entries;
  routing_view view;
  traffic_counters counters;
  std::vector<traffic_action> actions;
  timing times;
  request_router router{ times, 1, counters };
};

}
