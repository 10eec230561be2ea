#include "request_fixture.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

BOOST_FIXTURE_TEST_SUITE(requests, request_fixture)

// Guards against a lost, shortened or wrongly addressed answer.
BOOST_AUTO_TEST_CASE(a_request_gets_all_segments_of_its_answer)
{
  publish();
  request_packet second_attempt = request(5);
  second_attempt.attempt = 2;
  send(request(5));
  send(second_attempt);
  BOOST_REQUIRE(runs().size() == 1U);
  const request_packet run = runs().front();
  from_target("t1", answer_to(run, 1, 2));
  from_target("t1", answer_to(run, 1, 2));
  BOOST_TEST(answers().empty());
  from_target("t1", answer_to(run, 0, 2));
  BOOST_REQUIRE(answers().size() == 4U);
  BOOST_TEST(answers()[1].attempt == 1U);
  BOOST_TEST(answers()[3].attempt == 2U);
  BOOST_TEST(answers()[3].request_id == 5U);
  BOOST_TEST(router.finished());
}

// Guards against forwarding an answer of another run, another target or a completed run to the caller.
BOOST_AUTO_TEST_CASE(crossed_and_late_answers_are_dropped)
{
  add_target("t2");
  publish();
  send(request(1));
  send(request(2));
  BOOST_REQUIRE(runs().size() == 2U);
  answer_packet crossed = answer_to(runs()[0]);
  crossed.run_id = runs()[1].run_id;
  from_target("t2", crossed);
  from_target("t2", answer_to(runs()[0]));
  BOOST_TEST(answers().empty());
  from_target("t1", answer_to(runs()[0]));
  from_target("t1", answer_to(runs()[0]));
  BOOST_TEST(answers().size() == 1U);
  BOOST_TEST(counters.answers_unmatched == 3U);
}

// Guards against more runs at a target than the share, and against a slot that is never released.
BOOST_AUTO_TEST_CASE(requests_wait_for_a_slot_of_the_share)
{
  publish();
  for (std::uint64_t id = 1; id <= 4; ++id) {
    send(request(id));
  }
  BOOST_TEST(runs().size() == 2U);
  BOOST_TEST(counters.queued == 2U);
  from_target("t1", answer_to(runs()[1]));
  BOOST_REQUIRE(runs().size() == 3U);
  BOOST_TEST(runs()[2].request_id == 3U);
}

// Guards against a slot that is never released after its target is lost, and against one that is released while the
// target may still run the request.
BOOST_AUTO_TEST_CASE(a_slot_is_free_after_the_deadline_and_its_grace)
{
  publish();
  send(request(1, normal, "k"));
  const auto in_flight = [&] { return router.capacity(now).front().free_slots; };
  wait(milliseconds(999));
  BOOST_TEST(in_flight() == 1U);
  wait(milliseconds(1));
  BOOST_TEST(in_flight() == 2U);
  BOOST_REQUIRE(refusals().size() == 1U);
  BOOST_TEST((refusals()[0].outcome == run_outcome::may_have_run));
  BOOST_TEST((refusals()[0].reason == refusal_reason::deadline));
}

// Guards against a class order that is not strict, and against a class that never gets a slot.
BOOST_AUTO_TEST_CASE(urgent_first_but_bulk_after_a_second)
{
  publish();
  std::uint64_t id = 0;
  const auto add = [&](endpoint service) {
    request_packet value = request(++id, service);
    value.deadline_ms = 5000;
    send(value);
  };
  const auto free_slot = [&] {
    const std::size_t before = runs().size();
    from_target("t1", answer_to(runs()[before - 2]));
    return runs().size() > before ? runs().back().flow.service : endpoint{};
  };
  add(normal);
  add(normal);
  add(bulk);
  add(urgent);
  wait(milliseconds(600));
  add(urgent);
  add(urgent);
  BOOST_TEST((free_slot() == urgent));
  BOOST_TEST((free_slot() == urgent));
  wait(milliseconds(399));
  add(urgent);
  wait(milliseconds(1));
  BOOST_TEST((free_slot() == bulk));
  BOOST_TEST((free_slot() == urgent));
}

// Guards against an unbounded queue.
BOOST_AUTO_TEST_CASE(a_full_queue_refuses)
{
  entries.services[1].queue_limit = 3;
  publish();
  for (std::uint64_t id = 1; id <= 6; ++id) {
    send(request(id));
  }
  BOOST_TEST(counters.queued == 3U);
  BOOST_REQUIRE(refusals().size() == 1U);
  BOOST_TEST(refusals()[0].request_id == 6U);
  BOOST_TEST((refusals()[0].reason == refusal_reason::overloaded));
}

// Guards against requests that wait although they cannot start in time.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_start_in_time_is_refused_early)
{
  publish();
  send(request(1));
  wait(milliseconds(600));
  from_target("t1", answer_to(runs()[0]));
  for (std::uint64_t id = 2; id <= 5; ++id) {
    send(request(id));
  }
  BOOST_TEST(refusals().empty());
  request_packet hasty = request(6);
  hasty.deadline_ms = 500;
  send(hasty);
  BOOST_REQUIRE(refusals().size() == 1U);
  BOOST_TEST((refusals()[0].reason == refusal_reason::overloaded));
  BOOST_TEST(refusals()[0].safe_to_retry);
}

// Guards against a refused request that is not retried while another target is free, against a non-idempotent request
// that is sent again after it may have run, and against unlimited retries.
BOOST_AUTO_TEST_CASE(only_requests_not_run_or_idempotent_are_retried)
{
  add_target("t2");
  add_target("t3");
  publish();
  send(request(1, normal, "k1"));
  // Target ids end in the port that the fixture gives them.
  const auto target_of = [&](std::size_t run) {
    std::vector<vm_id> targets;
    for (const traffic_action& action : actions) {
      if (const auto* sending = std::get_if<send_to_target>(&action)) {
        targets.push_back(std::string("t") + static_cast<char>(sending->address.port));
      }
    }
    return targets.at(run);
  };
  from_target(target_of(0), refusal_of(runs()[0], run_outcome::not_run, refusal_reason::no_target));
  BOOST_REQUIRE(runs().size() == 2U);
  BOOST_TEST(target_of(0) != target_of(1));
  BOOST_TEST(counters.requests_retried == 1U);
  from_target(target_of(1), refusal_of(runs()[1], run_outcome::may_have_run, refusal_reason::no_target));
  BOOST_TEST(runs().size() == 2U);
  BOOST_REQUIRE(refusals().size() == 1U);
  BOOST_TEST((refusals()[0].outcome == run_outcome::may_have_run));
  for (std::uint64_t id = 2; id < 20; ++id) {
    clear_actions();
    send(request(id));
    from_target(target_of(0), refusal_of(runs()[0], run_outcome::not_run, refusal_reason::no_target));
    if (runs().size() == 2U) {
      from_target(target_of(1), answer_to(runs()[1]));
    }
  }
  BOOST_TEST(counters.requests_retried >= 10U);
  BOOST_TEST(counters.requests_retried <= 12U);
}

// Guards against a target that turned cold and keeps getting its full load, and against peers that never get its
// report.
BOOST_AUTO_TEST_CASE(a_cold_target_gets_its_cold_allowance)
{
  for (service& each : entries.services) {
    each.limits.warm_up_seconds = 10;
  }
  publish();
  send(request(1));
  answer_packet restarted = answer_to(runs()[0]);
  restarted.report.incarnation = 2;
  from_target("t1", restarted);
  const auto reported = [&] {
    return std::count_if(actions.begin(), actions.end(), [](const traffic_action& action) {
      return std::holds_alternative<report_target>(action);
    });
  };
  BOOST_TEST(reported() == 1);
  send(request(2));
  send(request(3));
  BOOST_TEST(runs().size() == 2U);
  wait(milliseconds(800));
  refusal_packet cold = refusal_of(runs()[1], run_outcome::not_run, refusal_reason::cold);
  cold.report = { 2, target_condition::cold };
  from_target("t1", cold);
  BOOST_TEST(reported() == 2);
  BOOST_TEST(router.capacity(now).front().free_slots <= 1U);
}

// Guards against an unresponsive target that keeps getting requests, and against one that never gets requests again.
BOOST_AUTO_TEST_CASE(three_timeouts_make_a_target_suspect)
{
  publish();
  std::uint64_t id = 0;
  for (int round = 0; round < 3; ++round) {
    request_packet value = request(++id);
    value.deadline_ms = 1050;
    send(value);
    wait(milliseconds(1100));
  }
  std::vector<target_use> use(1);
  use[0].target = "t1";
  router.add_use(use, now);
  BOOST_TEST(use[0].suspect);
  BOOST_TEST(use[0].adaptive_limit == 1U);
  send(request(++id));
  send(request(++id));
  BOOST_TEST(runs().size() == 4U);
  from_target("t1", answer_to(runs().back()));
  router.add_use(use, now);
  BOOST_TEST(!use[0].suspect);
}

// Guards against a daemon that resumes after a pause and acts on authority, deadlines or answers that have expired.
BOOST_AUTO_TEST_CASE(a_paused_daemon_dispatches_nothing_on_lapsed_authority)
{
  view.spend_authority_until = now + seconds(2);
  publish();
  for (std::uint64_t id = 1; id <= 3; ++id) {
    send(request(id, normal, "k" + std::to_string(id)));
  }
  BOOST_REQUIRE(runs().size() == 2U);
  now += seconds(3);
  from_target("t1", answer_to(runs()[0]));
  BOOST_TEST(answers().empty());
  BOOST_TEST(runs().size() == 2U);
  BOOST_TEST(refusals().size() == 3U);
  BOOST_TEST((refusals().back().outcome == run_outcome::not_run));
  send(request(4));
  BOOST_TEST(runs().size() == 2U);
  BOOST_TEST((refusals().back().reason == refusal_reason::no_authority));
}

// Guards against a free share of a peer that stays unused, and against a request that is handed off endlessly.
BOOST_AUTO_TEST_CASE(a_request_without_a_slot_goes_to_the_peer_with_most_free_slots)
{
  add_member("a", "a2").capacity = { { "g", 1 } };
  add_member("a", "a3").capacity = { { "g", 2 } };
  publish();
  for (std::uint64_t id = 1; id <= 6; ++id) {
    send(request(id));
  }
  const auto handed = forwarded();
  BOOST_REQUIRE(handed.size() == 3U);
  BOOST_TEST(handed[0].first == "a3");
  BOOST_TEST((handed[0].second.purpose == forward_purpose::hand_off));
  BOOST_TEST(counters.queued == 1U);
  publish();
  clear_actions();
  forwarded_packet twice{ "a2", forward_purpose::hand_off, 2, true, {}, {}, request(9) };
  router.on_forwarded("a2", twice, now, actions);
  BOOST_TEST(forwarded().empty());
}

// Guards against packets for a domain that operators took out, and against requests that are stuck there.
BOOST_AUTO_TEST_CASE(a_domain_out_of_service_gets_no_requests_and_hands_off_its_queue)
{
  add_member("b", "b1");
  view.targets["t9"].vm = { "t9", "b", false, "g", { 20, 9 }, {}, 1 };
  publish();
  for (std::uint64_t id = 1; id <= 40; ++id) {
    send(request(id));
  }
  BOOST_TEST(counters.queued > 0U);
  const auto at_own_target = runs();
  view.domains["a"].in_service = false;
  clear_actions();
  publish();
  BOOST_TEST(counters.queued == 0U);
  BOOST_TEST(!forwarded().empty());
  for (const request_packet& run : at_own_target) {
    from_target("t1", answer_to(run));
  }
  send(request(50));
  request_packet for_owner = request(51, normal, "k");
  for_owner.run_id = 9;
  router.on_forwarded("b1", { "b1", forward_purpose::hand_off, 1, true, {}, {}, for_owner }, now, actions);
  BOOST_TEST(runs().empty());
  view.domains["a"].in_service = true;
  view.domains["b"].in_service = false;
  publish();
  clear_actions();
  for (std::uint64_t id = 100; id <= 140; ++id) {
    send(request(id));
  }
  BOOST_TEST(forwarded().empty());
}

// Guards against new requests to a target that reports leaving before the list shows it.
BOOST_AUTO_TEST_CASE(a_target_that_leaves_gets_no_new_request)
{
  add_target("t2");
  publish();
  send(request(1));
  answer_packet last = answer_to(runs()[0]);
  last.report.condition = target_condition::leaving;
  from_target("t1", last);
  BOOST_TEST(answers().size() == 1U);
  for (std::uint64_t id = 2; id <= 4; ++id) {
    send(request(id));
  }
  BOOST_TEST(runs().size() == 3U);
  BOOST_TEST(counters.queued == 1U);
}

// Guards against a shutdown that aborts requests, and against one that accepts new ones.
BOOST_AUTO_TEST_CASE(a_leaving_daemon_finishes_its_work)
{
  add_member("a", "a2");
  publish();
  for (std::uint64_t id = 1; id <= 3; ++id) {
    send(request(id, normal, id == 1 ? "k" : ""));
  }
  router.begin_leaving(now, actions);
  BOOST_TEST(forwarded().size() == 1U);
  BOOST_TEST(!router.finished());
  from_target("t1", answer_to(runs()[0]));
  from_target("t1", answer_to(runs()[1]));
  BOOST_TEST(answers().size() == 2U);
  BOOST_TEST(router.finished());
  send(request(7, normal, "k7"));
  BOOST_TEST(runs().size() == 2U);
  BOOST_TEST((refusals().back().reason == refusal_reason::owner_changed));
}

// Guards against a cancelled request that runs, and against a cancel that does not reach the run.
BOOST_AUTO_TEST_CASE(a_cancel_ends_a_queued_request_and_follows_a_run)
{
  add_member("a", "a2");
  publish();
  for (std::uint64_t id = 1; id <= 3; ++id) {
    send(request(id));
  }
  const auto cancel = [&](std::uint64_t id) { send(cancel_packet{ request(id).flow, id, 1, {}, 0 }); };
  cancel(3);
  BOOST_REQUIRE(refusals().size() == 1U);
  BOOST_TEST((refusals()[0].reason == refusal_reason::cancelled));
  BOOST_TEST(counters.queued == 0U);
  cancel(1);
  const auto at_target = sent<send_to_target, cancel_packet>();
  BOOST_REQUIRE(at_target.size() == 1U);
  BOOST_TEST(at_target[0].run_id == runs()[0].run_id);
  BOOST_TEST(refusals().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
