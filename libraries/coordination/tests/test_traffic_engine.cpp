#include "coltsfootlock/coordination/traffic_engine.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

constexpr endpoint caller{ 0x7f000001, 9 };
constexpr endpoint example_service{ 0x0a000001, 443 };

/// Daemons a1 and a2 of one domain with one target; "a1" has the only slot.
struct engine_pair
{
  engine_pair()
  {
    catalogue services;
    services.version = 1;
    services.failure_domains = { { "a", true } };
    services.services = {
      { "claims", "owner", service_class::normal, example_service, "kiosk", { 1, 10, 1, 10, 0 }, 1000, 16 }
    };
    vm_list vms;
    vms.version = 1;
    vms.entries = { { "a1", "a", false, { 1, 1 }, { 1, 2 }, { 1, 3 } },
                    { "a2", "a", false, { 2, 1 }, { 2, 2 }, { 2, 3 } } };
    vms.targets = { { "t1", "a", false, "kiosk", { 3, 1 }, { 3, 2 }, 1 } };
    view.services = std::make_shared<const catalogue>(services);
    view.vms = std::make_shared<const vm_list>(vms);
    view.domain = "a";
    view.state = daemon_state::serving;
    for (const entry_vm& vm : vms.entries) {
      view.domains["a"].members.push_back({ vm, true, daemon_state::serving, { { "kiosk", 1 } } });
    }
    view.targets["t1"] = { vms.targets[0], false, 1, now - seconds(1000) };
    view.spending_sets = { { { "a1", "a2" }, { "a" } } };
    view.ownership = { { now - seconds(1000), view.spending_sets.front(), false } };
    view.spend_authority_until = view.key_authority_until = now + seconds(1000);
    publish();
    wait(seconds(3)); // Exceeds the maximum packet lifetime, so that keys count as new.
  }

  // Advances time in small steps, so that the engines do not detect a pause.
  void wait(seconds time)
  {
    for (const instant end = now + time; now < end;) {
      now += milliseconds(100);
      for (auto& [id, engine] : engines) {
        engine.tick(now);
      }
    }
  }

  // Sets a new view, with free slots as reported by heartbeats, in both engines.
  void publish()
  {
    ++view.sequence;
    for (auto& [id, engine] : engines) {
      view.self = id;
      view.boot_id = id == "a1" ? 1 : 2;
      perform(id, engine.set_view(std::make_shared<const routing_view>(view), now));
    }
  }

  // Performs actions until none is left; the target answers each run immediately.
  void perform(const vm_id& from, const std::vector<traffic_action>& actions)
  {
    for (const traffic_action& action : actions) {
      if (const auto* peer = std::get_if<send_to_peer>(&action)) {
        perform(peer->peer, engines.at(peer->peer).on_peer_message(from, peer->message, now));
      } else if (const auto* target = std::get_if<send_to_target>(&action)) {
        const auto& run = std::get<request_packet>(target->content);
        const answer_packet answer{
          run.flow, run.request_id, run.attempt, run.run_id, 0, 1, { 1, target_condition::serving }, "answer"
        };
        ++runs[from];
        perform(from, engines.at(from).on_target_packet("t1", answer, now));
      } else if (const auto* to_caller = std::get_if<send_to_caller>(&action)) {
        to_callers.push_back(to_caller->content);
      }
    }
  }

  // Delivers an open and its forwarded packets between the daemons.
  void perform_open(const vm_id& from, const std::vector<traffic_action>& actions)
  {
    for (const traffic_action& action : actions) {
      if (const auto* peer = std::get_if<send_to_peer>(&action)) {
        perform_open(peer->peer, engines.at(peer->peer).on_peer_message(from, peer->message, now));
      }
    }
  }

  instant now{ seconds(5000) };
  routing_view view;
  std::map<vm_id, int> runs;
  std::vector<packet> to_callers;
  std::map<vm_id, traffic_engine> engines = make_engines();

private:
  static std::map<vm_id, traffic_engine> make_engines()
  {
    std::map<vm_id, traffic_engine> result;
    result.emplace("a1", traffic_engine({}, 1));
    result.emplace("a2", traffic_engine({}, 2));
    return result;
  }
};

}

BOOST_FIXTURE_TEST_SUITE(traffic, engine_pair)

// Guards against the loss of an answer to the owner of a key when another daemon had the free slot and ran the request.
BOOST_AUTO_TEST_CASE(an_answer_to_a_run_for_the_owner_of_a_key_reaches_the_caller)
{
  constexpr std::uint64_t requests = 20;
  for (std::uint64_t number = 1; number <= requests; ++number) {
    const request_packet claim{
      { caller, example_service }, number, 1, "key-" + std::to_string(number), 0, 900, 0, ""
    };
    perform("a1", engines.at("a1").on_caller_packet(claim, now));
    publish();
  }
  BOOST_TEST(to_callers.size() == requests);
  for (const packet& value : to_callers) {
    BOOST_TEST(std::holds_alternative<answer_packet>(value));
  }
  // One of the two daemons has no slot, so the other one ran the requests for its keys.
  BOOST_TEST((runs["a1"] == 0 || runs["a2"] == 0));
  BOOST_TEST(engines.at("a1").counters().packets_dropped == 0U);
  BOOST_TEST(engines.at("a2").counters().packets_dropped == 0U);
}

// Guards against a caller that is not notified when the target has no record of its flow: a daemon with a learned route
// forwards the target's reset to the home, which sends it to the caller.
BOOST_AUTO_TEST_CASE(a_reset_that_a_peer_passes_on_reaches_the_caller)
{
  wait(seconds(10)); // Right after its start, a home leaves opens to its deputy.
  const flow_key flow{ caller, example_service };
  perform_open("a1", engines.at("a1").on_caller_packet(open_packet{ flow }, now));
  const vm_id home = engines.at("a1").explain(flow, {}, now).find("home a1") != std::string::npos ? "a1" : "a2";
  const vm_id other = home == "a1" ? "a2" : "a1";
  const reset_packet reset{ flow, reset_reason::unknown_flow, { 1, target_condition::serving } };
  const forwarded_packet passed{ other, forward_purpose::route_at_home, 1, true, "t1", {}, reset };
  const auto actions = engines.at(home).on_peer_message(other, passed, now);
  const bool notified = std::any_of(actions.begin(), actions.end(), [](const traffic_action& action) {
    const auto* sent = std::get_if<send_to_caller>(&action);
    return sent != nullptr && std::holds_alternative<reset_packet>(sent->content);
  });
  BOOST_TEST(notified);
}

// Guards against packet kinds that are invalid from their source and could end another caller's request.
BOOST_AUTO_TEST_CASE(kinds_from_the_wrong_side_are_dropped)
{
  traffic_engine& engine = engines.at("a1");
  const flow_key flow{ caller, example_service };
  engine.on_caller_packet(answer_packet{ flow, 1, 1, 1, 0, 1, {}, "" }, now);
  engine.on_caller_packet(refusal_packet{ flow, 1, 1, 1, run_outcome::not_run, refusal_reason::leaving, false, {} },
                          now);
  engine.on_caller_packet(opened_packet{ flow, {} }, now);
  engine.on_caller_packet(data_packet{ flow, false, {}, "" }, now);
  engine.on_target_packet("t1", open_packet{ flow }, now);
  engine.on_target_packet("t1", request_packet{ flow, 1, 1, {}, 0, 1, 0, "" }, now);
  engine.on_target_packet("t1", data_packet{ flow, true, {}, "" }, now);
  BOOST_TEST(engine.counters().packets_dropped == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
