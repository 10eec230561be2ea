#include "request_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

struct key_fixture : request_fixture
{
  request_packet keyed(std::uint64_t id, std::uint32_t attempt = 1, milliseconds age = milliseconds(0)) const
  {
    request_packet value = request(id, normal, "k");
    value.attempt = attempt;
    value.age_ms = static_cast<std::uint32_t>(age.count());
    return value;
  }

  refusal_reason last_reason() const { return refusals().back().reason; }
  bool last_not_run() const { return refusals().back().outcome == run_outcome::not_run; }
};

}

BOOST_FIXTURE_TEST_SUITE(request_keys, key_fixture)

// Guards against a second run of a key, and against a repeated key that gets no answer.
BOOST_AUTO_TEST_CASE(a_repeated_key_joins_and_then_gets_the_stored_answer)
{
  publish();
  send(keyed(1));
  send(keyed(1, 2));
  send(keyed(8));
  BOOST_REQUIRE(runs().size() == 1U);
  from_target("t1", answer_to(runs()[0]));
  BOOST_TEST(answers().size() == 3U);
  send(keyed(9, 4));
  BOOST_REQUIRE(answers().size() == 4U);
  BOOST_TEST(answers()[3].request_id == 9U);
  BOOST_TEST(answers()[3].attempt == 4U);
  BOOST_TEST(runs().size() == 1U);
}

// Guards against the answer to one request reaching another request with the same key.
BOOST_AUTO_TEST_CASE(another_request_with_a_used_key_gets_no_answer)
{
  publish();
  send(keyed(1));
  from_target("t1", answer_to(runs()[0]));
  request_packet other = keyed(2);
  other.payload = "other";
  send(other);
  BOOST_TEST(answers().size() == 1U);
  BOOST_TEST(refusals().size() == 1U);
  BOOST_TEST((last_reason() == refusal_reason::key_conflict));
  BOOST_TEST(!last_not_run());
}

// Guards against a false "not run": a key refused as not run never runs later, and a key whose request was sent is
// never refused as not run.
BOOST_AUTO_TEST_CASE(a_key_refused_as_not_run_never_runs)
{
  publish();
  send(request(1));
  send(request(2));
  send(keyed(3));
  send(cancel_packet{ keyed(3).flow, 3, 1, "k", 0 });
  BOOST_REQUIRE(refusals().size() == 1U);
  BOOST_TEST(last_not_run());
  from_target("t1", answer_to(runs()[0]));
  send(keyed(4, 2));
  BOOST_TEST(runs().size() == 2U);
  BOOST_TEST(last_not_run());
  BOOST_TEST((last_reason() == refusal_reason::cancelled));
}

// Guards against a request that runs after its cancel, when the cancel arrives first.
BOOST_AUTO_TEST_CASE(a_key_whose_cancel_arrives_first_never_runs)
{
  publish();
  send(cancel_packet{ keyed(3).flow, 3, 1, "k", 0 });
  send(keyed(3));
  BOOST_TEST(runs().empty());
  BOOST_TEST(refusals().size() == 2U);
  BOOST_TEST(!last_not_run());
}

// Guards against a new owner that runs a key which the previous owner may have run.
BOOST_AUTO_TEST_CASE(a_new_owner_refuses_older_keys)
{
  view.ownership.front().since = now;
  publish();
  wait_in_steps(seconds(5));
  send(keyed(1, 1, seconds(4)));
  BOOST_TEST((last_reason() == refusal_reason::owner_changed));
  BOOST_TEST(!last_not_run());
  send(keyed(1, 2, seconds(700)));
  BOOST_TEST((last_reason() == refusal_reason::too_old));
  send(keyed(1, 3, seconds(2)));
  BOOST_TEST(runs().size() == 1U);
}

// Guards against two owners of a key while a change of the entry set is pending.
BOOST_AUTO_TEST_CASE(a_key_is_accepted_only_under_all_sets)
{
  view.spending_sets.push_back({ { "a1" }, { "b" } });
  publish();
  send(keyed(1));
  BOOST_TEST(runs().empty());
  BOOST_TEST((last_reason() == refusal_reason::owner_changed));
  view.spending_sets.pop_back();
  view.key_authority_until = now;
  publish();
  send(keyed(1, 2));
  BOOST_TEST(runs().empty());
  BOOST_TEST((last_reason() == refusal_reason::no_authority));
}

// Guards against a daemon that lost its authority, regains it with the same set, and has no entries for the keys that
// another owner ran in between.
BOOST_AUTO_TEST_CASE(a_lapse_of_authority_starts_ownership_anew)
{
  view.key_authority_until = now + milliseconds(100);
  publish();
  wait_in_steps(seconds(3));
  view.key_authority_until = now + seconds(1000);
  publish();
  send(keyed(1, 1, seconds(1)));
  BOOST_TEST(runs().empty());
  BOOST_TEST((last_reason() == refusal_reason::owner_changed));
}

// Guards against a packet that waited in the socket of a paused daemon and is accepted as new after the daemon became
// the owner of its key.
BOOST_AUTO_TEST_CASE(a_packet_that_waited_during_a_pause_counts_as_old)
{
  view.ownership.front().since = now + seconds(4);
  publish();
  now += seconds(10);
  router.tick(now, actions);
  send(keyed(1));
  BOOST_TEST(runs().empty());
  BOOST_TEST((last_reason() == refusal_reason::owner_changed));
}

// Guards against a full table that evicts a key, and against a "not run" without a tombstone.
BOOST_AUTO_TEST_CASE(a_full_key_table_refuses_new_keys)
{
  timing small = times;
  small.max_keys = 1;
  request_router bounded(small, 1, counters);
  bounded.set_view(std::make_shared<routing_view>(view), now, actions);
  for (int step = 0; step < 30; ++step) {
    now += milliseconds(100);
    bounded.tick(now, actions);
  }
  bounded.on_caller_packet(keyed(1), now, actions);
  BOOST_REQUIRE(runs().size() == 1U);
  bounded.on_caller_packet(request(2, normal, "other"), now, actions);
  BOOST_TEST(runs().size() == 1U);
  BOOST_TEST((last_reason() == refusal_reason::overloaded));
  BOOST_TEST(!last_not_run());
}

// Guards against an owner without slots that cannot serve its keys, and against a duplicate of its message that
// runs twice.
BOOST_AUTO_TEST_CASE(an_owner_without_a_slot_delegates_to_a_peer)
{
  view.spending_sets = { { { "a1", "a2" }, { "a" } } };
  view.ownership.front().set = view.spending_sets.front();
  add_member("a", "a2").capacity = { { "g", 1 } };
  for (service& each : entries.services) {
    each.limits.slots = 1;
  }
  publish();
  routing_view other = view;
  other.self = "a2";
  other.boot_id = 8;
  traffic_counters other_counters;
  request_router peer(times, 1, other_counters);
  publish();
  other.services = std::make_shared<catalogue>(entries);
  peer.set_view(std::make_shared<routing_view>(other), now, actions);

  // Finds a key whose owner is the daemon without a slot; the hashes decide which of the two that is.
  const bool peer_has_slot = peer.capacity(now).front().free_slots == 1U;
  request_router& owner = peer_has_slot ? router : peer;
  request_router& runner = peer_has_slot ? peer : router;
  const vm_id owner_id = peer_has_slot ? "a1" : "a2";
  const vm_id runner_id = peer_has_slot ? "a2" : "a1";
  if (!peer_has_slot) {
    other.domains["a"].members[0].capacity = { { "g", 1 } };
    other.sequence = 5;
    peer.set_view(std::make_shared<routing_view>(other), now, actions);
  }
  for (int step = 0; step < 30; ++step) {
    now += milliseconds(100);
    owner.tick(now, actions);
    runner.tick(now, actions);
  }
  clear_actions();
  for (int index = 0; forwarded().empty() || forwarded()[0].second.purpose != forward_purpose::hand_off; ++index) {
    clear_actions();
    owner.on_caller_packet(request(1, normal, "key" + std::to_string(index)), now, actions);
  }
  const forwarded_packet delegated = forwarded()[0].second;
  clear_actions();
  runner.on_forwarded(owner_id, delegated, now, actions);
  runner.on_forwarded(owner_id, delegated, now, actions);
  BOOST_REQUIRE(runs().size() == 1U);
  runner.on_target_packet("t1", answer_to(runs()[0]), now, actions);
  BOOST_TEST(answers().empty());
  BOOST_REQUIRE(forwarded().size() == 1U);
  const forwarded_packet reply = forwarded()[0].second;
  owner.on_forwarded(runner_id, reply, now, actions);
  owner.on_forwarded(runner_id, reply, now, actions);
  BOOST_TEST(answers().size() == 1U);

  // A duplicate that waited in the socket while the process was paused.
  clear_actions();
  now += seconds(10);
  runner.on_forwarded(owner_id, delegated, now, actions);
  BOOST_TEST(runs().empty());
}

// Guards against keys that never run because their home domain has no target of the group, or only leaving ones.
BOOST_AUTO_TEST_CASE(an_owner_without_targets_delegates_to_another_domain)
{
  view.targets["t1"].leaving = true;
  view.targets["t9"].vm = { "t9", "b", false, "g", { 20, 9 }, {}, 1 };
  add_member("b", "b1");
  publish();
  send(keyed(1));
  BOOST_TEST(refusals().empty());
  view.domains["b"].members[0].capacity = { { "g", 1 } };
  publish();
  BOOST_REQUIRE(forwarded().size() == 1U);
  BOOST_TEST(forwarded()[0].first == "b1");
  BOOST_TEST((forwarded()[0].second.purpose == forward_purpose::hand_off));
  view.domains["b"].in_service = false;
  publish();
  send(request(2, normal, "k2"));
  BOOST_REQUIRE(refusals().size() == 1U);
  BOOST_TEST((last_reason() == refusal_reason::no_target));
  BOOST_TEST(last_not_run());
}

BOOST_AUTO_TEST_SUITE_END()
