#include "key_ownership.h"
#include "request_fixture.h"

#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/state/key_id.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

/// Domain "b" owned the key and is taken out; "a1" takes over. The test delivers the messages between the two.
struct ownership_change
{
  ownership_change()
  {
    old_owner.view.self = "b1";
    old_owner.view.domain = "b";
    for (request_fixture* side : { &old_owner, &new_owner }) {
      side->view.domains.clear();
      side->add_member("a", "a1");
      side->add_member("b", "b1");
      set_domains(*side, { "a", "b" });
      side->publish();
    }
    old_owner.view.targets["t1"].vm.domain = "b";
    old_owner.publish();
    // Longer than the packet lifetime, so that the old owner can confirm that it never received the key.
    wait(seconds(4));
  }

  static entry_set set_of(const request_fixture& side, std::vector<std::string> domains)
  {
    return { { side.view.self }, std::move(domains) };
  }

  static void set_domains(request_fixture& side, const std::vector<std::string>& domains)
  {
    side.view.spending_sets = { set_of(side, domains) };
    side.view.ownership = { { side.now - seconds(100), side.view.spending_sets.front(), false } };
  }

  // Both daemons settle on the set without domain "b".
  void take_out(bool direct = true)
  {
    for (request_fixture* side : { &old_owner, &new_owner }) {
      side->view.spending_sets = { set_of(*side, { "a" }) };
      side->view.ownership.push_back({ side->now, side->view.spending_sets.front(), direct });
      side->view.domains["b"].in_service = false;
      side->publish();
    }
    wait(milliseconds(100));
  }

  void wait(milliseconds time)
  {
    new_owner.wait_in_steps(time);
    old_owner.wait_in_steps(time);
  }

  // A key whose home is "b" while both domains are in service.
  request_packet claim() const
  {
    for (int number = 0;; ++number) {
      request_packet value = request_fixture::request(1, request_fixture::normal, "claim-" + std::to_string(number));
      const std::uint64_t hash = hash_of(key_id{ value.flow.service, value.idempotency_key });
      if (rendezvous_order(hash, { "a", "b" }).front() == "b") {
        return value;
      }
    }
  }

  // Delivers the messages of one daemon to the other; returns their number.
  static std::size_t deliver(request_fixture& from, request_fixture& to)
  {
    const auto messages = from.forwarded();
    from.clear_actions();
    for (const auto& [peer, message] : messages) {
      to.router.on_forwarded(from.view.self, message, to.now, to.actions);
    }
    return messages.size();
  }

  request_fixture old_owner;
  request_fixture new_owner;
};

}

BOOST_FIXTURE_TEST_SUITE(request_key_query, ownership_change)

// Guards against needless refusals while a domain leaves: a key that the old owner never received runs at the new one.
BOOST_AUTO_TEST_CASE(a_key_that_the_previous_owner_never_received_is_accepted)
{
  take_out();
  new_owner.send(claim());
  BOOST_TEST(new_owner.refusals().empty());
  BOOST_TEST(new_owner.runs().empty());
  BOOST_REQUIRE(deliver(new_owner, old_owner) == 1U);
  BOOST_REQUIRE(deliver(old_owner, new_owner) == 1U);
  BOOST_TEST(new_owner.runs().size() == 1U);
  BOOST_TEST(new_owner.refusals().empty());
}

// Guards against a second run of a key that ran before the change of the owner, and against losing its answer.
BOOST_AUTO_TEST_CASE(a_key_that_the_previous_owner_knows_gets_its_answer_and_never_runs_again)
{
  old_owner.send(claim());
  BOOST_REQUIRE(old_owner.runs().size() == 1U);
  old_owner.from_target("t1", request_fixture::answer_to(old_owner.runs()[0]));
  old_owner.clear_actions();
  take_out();
  request_packet again = claim();
  again.attempt = 2;
  again.age_ms = 300;
  new_owner.send(again);
  BOOST_REQUIRE(deliver(new_owner, old_owner) == 1U);
  BOOST_REQUIRE(old_owner.answers().size() == 1U);
  BOOST_TEST(old_owner.answers()[0].attempt == 2U);
  BOOST_REQUIRE(deliver(old_owner, new_owner) == 1U);
  wait(seconds(1));
  BOOST_TEST(new_owner.runs().empty());
  BOOST_TEST(new_owner.refusals().empty());
}

// Guards against a caller that waits forever, and against a run after a confirmation that arrived too late.
BOOST_AUTO_TEST_CASE(without_a_reply_the_request_is_refused_as_one_that_may_have_run)
{
  take_out();
  new_owner.send(claim());
  BOOST_REQUIRE(deliver(new_owner, old_owner) == 1U);
  new_owner.wait_in_steps(milliseconds(600));
  BOOST_REQUIRE(new_owner.refusals().size() == 1U);
  BOOST_TEST((new_owner.refusals()[0].outcome == run_outcome::may_have_run));
  BOOST_TEST((new_owner.refusals()[0].reason == refusal_reason::owner_changed));
  BOOST_REQUIRE(deliver(old_owner, new_owner) == 1U);
  BOOST_TEST(new_owner.runs().empty());
}

// Guards against a daemon that refuses a request after a pause although the previous owner has already replied to the
// caller: the attempt would get two outcomes.
BOOST_AUTO_TEST_CASE(a_reply_that_waited_during_a_pause_of_the_new_owner_counts)
{
  take_out();
  new_owner.send(claim());
  BOOST_REQUIRE(deliver(new_owner, old_owner) == 1U);
  new_owner.wait(seconds(2));
  BOOST_TEST(new_owner.refusals().empty());
  BOOST_REQUIRE(deliver(old_owner, new_owner) == 1U);
  new_owner.wait_in_steps(seconds(3));
  BOOST_TEST(new_owner.refusals().size() == 1U); // Its timeout has passed; only a reply of the owner completes it.
}

// Guards against a previous owner that was paused and replies to a caller whose request was refused meanwhile.
BOOST_AUTO_TEST_CASE(a_check_that_may_have_waited_during_a_pause_gets_no_reply)
{
  old_owner.send(claim());
  BOOST_REQUIRE(old_owner.runs().size() == 1U);
  old_owner.from_target("t1", request_fixture::answer_to(old_owner.runs()[0]));
  old_owner.clear_actions();
  take_out();
  old_owner.wait(seconds(2));
  const forwarded_packet check{ "a1", forward_purpose::key_check, 1, true, {}, {}, claim() };
  old_owner.router.on_forwarded("a1", check, old_owner.now, old_owner.actions);
  BOOST_TEST(old_owner.answers().empty());
  BOOST_TEST(old_owner.forwarded().empty());
}

// Guards against a third daemon that owned the key under a catalogue version that this daemon never received.
BOOST_AUTO_TEST_CASE(no_daemon_is_queried_after_a_change_that_skipped_a_version)
{
  take_out(false);
  new_owner.send(claim());
  BOOST_TEST(new_owner.forwarded().empty());
  BOOST_TEST(new_owner.refusals().size() == 1U);
}

// Guards against a confirmation by a daemon that lost the key in a restart.
BOOST_AUTO_TEST_CASE(a_restarted_daemon_does_not_confirm)
{
  take_out();
  request_router restarted(old_owner.times, 1, old_owner.counters);
  const forwarded_packet check{ "a1", forward_purpose::key_check, 1, true, {}, {}, claim() };
  for (request_router* router : { &restarted, &old_owner.router }) {
    old_owner.clear_actions();
    router->set_view(std::make_shared<routing_view>(old_owner.view), old_owner.now, old_owner.actions);
    router->on_forwarded("a1", check, old_owner.now, old_owner.actions);
    BOOST_TEST(old_owner.forwarded().size() == (router == &restarted ? 0U : 1U));
  }
}

// Guards against a confirmation by a daemon that still accepts the key.
BOOST_AUTO_TEST_CASE(a_daemon_that_still_owns_the_key_does_not_confirm)
{
  const forwarded_packet check{ "a1", forward_purpose::key_check, 1, true, {}, {}, claim() };
  old_owner.router.on_forwarded("a1", check, old_owner.now, old_owner.actions);
  BOOST_TEST(old_owner.forwarded().empty());
}

BOOST_AUTO_TEST_SUITE_END()
