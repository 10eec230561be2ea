#include "coltsfootlock/coordination/steering/record_follower.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

struct follower_fixture
{
  follower_settings settings;
  record_follower follower{ settings, 1 };
  instant now = instant(seconds(1));

  record_call call()
  {
    const auto planned = follower.next_call(record_sender::store, false, now);
    BOOST_REQUIRE(planned.has_value());
    return planned->call;
  }

  void list(std::uint64_t revision)
  {
    call();
    follower.on_response(record_page{ {}, revision, "", false, {} }, now);
    if (!follower.confirmed_at()) { // The first list may be old; a watch brings it up to date.
      call();
      follower.on_response(record_events{ {}, revision, {} }, now);
      BOOST_TEST((follower.next_wakeup() - now <= milliseconds(500)));
      now = std::max(now, follower.next_wakeup());
    }
  }
};

const call_failed failure{ { error_kind::unavailable, "no answer" } };

}

BOOST_FIXTURE_TEST_SUITE(record_following, follower_fixture)

// The pages of a list are not one snapshot, so the watch has to start at the revision of the first page.
BOOST_AUTO_TEST_CASE(the_watch_continues_from_the_first_page_of_the_list)
{
  BOOST_TEST((std::get<list_call>(call()) == list_call{ "", true }));
  auto progress = follower.on_response(record_page{ {}, 50, "k", true, {} }, now);
  BOOST_TEST(progress.snapshot_begins);
  BOOST_TEST(!progress.snapshot_complete.has_value());
  BOOST_TEST(!follower.confirmed_at().has_value());
  BOOST_TEST((std::get<list_call>(call()) == list_call{ "k", true }));
  progress = follower.on_response(record_page{ {}, 60, "z", false, {} }, now);
  BOOST_TEST(!progress.snapshot_begins);
  BOOST_TEST(progress.snapshot_complete.value().revision == 50U);
  BOOST_TEST(std::get<watch_call>(call()).after.revision == 50U);
}

// Load pattern: 3,000 targets in 60 pages. A reader that waits for the call budget of all pages before its next watch
// gets no changes for half a minute.
BOOST_AUTO_TEST_CASE(a_long_list_delays_the_next_watches_by_a_single_pause_each)
{
  for (int page = 1; page < 60; ++page) {
    call();
    follower.on_response(record_page{ {}, 50, "k" + std::to_string(page), true, {} }, now);
    BOOST_TEST(follower.listing_in_progress());
    now += milliseconds(7);
  }
  list(50);
  BOOST_TEST(!follower.listing_in_progress());
  for (int watch = 0; watch < 3; ++watch) {
    call();
    follower.on_response(record_events{ {}, 50, {} }, now);
    BOOST_TEST((follower.next_wakeup() - now <= milliseconds(500)));
    now = std::max(now, follower.next_wakeup());
  }
}

// Load pattern: many daemons start at once, and the store refuses calls beyond its rate. If each restarted its list,
// their rate would never drop below that limit.
BOOST_AUTO_TEST_CASE(a_refused_page_is_requested_again)
{
  call();
  follower.on_response(record_page{ {}, 50, "k", true, {} }, now);
  call();
  follower.on_response(failure, now);
  BOOST_TEST(!follower.listing_in_progress()); // Another source may be chosen now.
  BOOST_TEST((std::get<list_call>(call()) == list_call{ "k", true }));
  follower.on_response(record_page{ {}, 60, "m", true, {} }, now);
  BOOST_TEST(follower.listing_in_progress());
  const auto from_peer = follower.next_call(record_sender::other_domain, false, now);
  BOOST_TEST((std::get<list_call>(from_peer->call) == list_call{ "" }));
}

BOOST_AUTO_TEST_CASE(an_unavailable_history_is_replaced_by_a_list)
{
  list(50);
  call();
  follower.on_response(history_unavailable{}, now);
  BOOST_TEST(std::holds_alternative<list_call>(call()));
  BOOST_TEST((follower.outage_grace_end() <= now));
}

// A list of many pages takes its time, in which the store serves: with the wait of the watch before it, that is more
// than a gap which counts as an outage.
BOOST_AUTO_TEST_CASE(a_long_list_after_a_forgotten_history_is_no_outage)
{
  list(50);
  call();
  now += milliseconds(1100);
  follower.on_response(history_unavailable{}, now);
  for (int page = 1; page <= 10; ++page) {
    call();
    now += milliseconds(100);
    const auto progress = follower.on_response(record_page{ {}, 90, "k" + std::to_string(page), page < 10, {} }, now);
    BOOST_TEST(!progress.outage.has_value());
  }
  BOOST_TEST((follower.confirmed_at().value() >= now - milliseconds(100)));
}

// The store was away, and has forgotten its history as well.
BOOST_AUTO_TEST_CASE(a_list_after_an_outage_has_a_grace_period_whatever_the_first_response)
{
  list(50);
  now += settings.max_record_gap + milliseconds(1);
  call();
  auto progress = follower.on_response(history_unavailable{}, now);
  BOOST_TEST_REQUIRE(progress.outage.has_value());
  BOOST_TEST((progress.outage->sign == outage_sign::records_gap));
  BOOST_TEST((follower.outage_grace_end() == now + settings.outage_grace));
  call();
  progress = follower.on_response(record_page{ {}, 90, "", false, {} }, now);
  BOOST_TEST(!progress.outage.has_value());
  BOOST_TEST((follower.outage_grace_end() == now + settings.outage_grace));
}

// A response can be lost on a connection that stays silent. The next call follows at once, on a new connection.
BOOST_AUTO_TEST_CASE(the_first_failure_is_retried_at_once_and_later_ones_after_growing_pauses)
{
  list(50);
  duration pauses{};
  for (int failures = 1; failures <= 6; ++failures) {
    now = std::max(now, follower.next_wakeup());
    call();
    const auto progress = follower.on_response(failure, now);
    BOOST_TEST(progress.lost == (failures == 1));
    const duration pause = follower.next_wakeup() - now;
    BOOST_TEST((failures > 1 || pause <= duration::zero()));
    BOOST_TEST((pause <= settings.max_retry_delay));
    pauses += std::max(pause, duration::zero());
  }
  BOOST_TEST((pauses > settings.max_retry_delay));
  BOOST_TEST(!follower.store_reachable());
}

BOOST_AUTO_TEST_CASE(missing_records_have_a_grace_period_after_an_outage)
{
  list(50);
  call();
  follower.on_response(record_events{ {}, 50, {} }, now);
  BOOST_TEST((follower.outage_grace_end() <= now));
  now = std::max(now, follower.next_wakeup());
  call();
  const instant failed = now;
  follower.on_response(failure, now);
  while (now - failed < settings.max_interruption) {
    now = std::max(now, follower.next_wakeup());
    call();
    now += milliseconds(5);
    follower.on_response(failure, now);
  }
  now = std::max(now, follower.next_wakeup());
  call();
  const auto progress = follower.on_response(record_events{ {}, 51, {} }, now);
  BOOST_TEST(progress.regained);
  BOOST_TEST((follower.outage_grace_end() == now + settings.outage_grace));
}

// A watch that is cut, and one refused call after it, cost no target its record. The call that follows does not wait
// for a change, so that it shows at once that the store serves.
BOOST_AUTO_TEST_CASE(a_call_that_fails_once_is_no_outage)
{
  list(50);
  for (const bool refused_as_well : { false, true }) {
    call();
    now += milliseconds(1100);
    follower.on_response(failure, now);
    if (refused_as_well) {
      call();
      now += milliseconds(5);
      follower.on_response(failure, now);
      now = std::max(now, follower.next_wakeup());
    }
    BOOST_TEST((std::get<watch_call>(call()).wait == milliseconds(0)));
    const auto progress = follower.on_response(record_events{ {}, 50, {} }, now);
    BOOST_TEST(progress.regained);
    BOOST_TEST(!progress.outage.has_value());
    BOOST_TEST((follower.outage_grace_end() <= now));
    BOOST_TEST((follower.confirmed_at().value() == now));
    now = std::max(now, follower.next_wakeup());
  }
}

// Load pattern: a domain is cut off, and the records of its targets expire. When the partition ends, its daemons learn
// of that from another domain, which was not cut off, before the targets have published their records again.
BOOST_AUTO_TEST_CASE(records_removed_during_a_partition_have_a_grace_period_for_those_who_learn_of_it_later)
{
  const auto events_from_peer = [this](std::uint64_t revision, milliseconds age) {
    BOOST_REQUIRE(follower.next_call(record_sender::other_domain, false, now).has_value());
    follower.on_response(record_events{ {}, revision, { age, milliseconds(0) } }, now);
  };
  list(50);
  now += milliseconds(1300);
  events_from_peer(51, milliseconds(100));
  BOOST_TEST((follower.outage_grace_end() <= now));
  now += milliseconds(1300);
  events_from_peer(51, milliseconds(1400)); // The source is cut off as well.
  now += milliseconds(3000);
  BOOST_REQUIRE(follower.next_call(record_sender::other_domain, false, now).has_value());
  follower.on_peer_failure();
  BOOST_TEST((follower.outage_grace_end() <= now));
  events_from_peer(90, milliseconds(100));
  BOOST_TEST((follower.outage_grace_end() == now + settings.outage_grace));
}

// Load pattern: changes in quick succession while many daemons watch. They are collected instead of causing a call
// each.
BOOST_AUTO_TEST_CASE(many_changes_cost_a_bounded_number_of_calls)
{
  list(1);
  int calls = 0;
  std::uint64_t revision = 1;
  const instant end = now + seconds(20);
  while (now < end) {
    now = std::max(now, follower.next_wakeup());
    call();
    ++calls;
    now += milliseconds(5);
    follower.on_response(record_events{ {}, ++revision, {} }, now);
  }
  BOOST_TEST(calls <= 20 * settings.calls_per_second + settings.call_burst);
}

// A response that arrives later than its sender may hold it was on its way meanwhile: the records are known to be
// complete only as of the end of the wait.
BOOST_AUTO_TEST_CASE(a_late_response_confirms_the_records_only_as_of_its_latest_sending)
{
  list(50);
  const instant called = now;
  call();
  now += milliseconds(2300);
  follower.on_response(record_events{ {}, 50, {} }, now);
  BOOST_TEST((follower.confirmed_at().value() <= called + settings.watch_wait));
}

// The store is cut off right after it sent a response that arrives late, by less than a gap that counts as an outage.
// The time without records counts from the sending, at the latest at the end of the wait.
BOOST_AUTO_TEST_CASE(a_late_response_does_not_hide_an_outage_after_it)
{
  list(50);
  const instant sent = now + settings.watch_wait;
  call();
  now += milliseconds(1650);
  follower.on_response(record_events{ {}, 50, {} }, now);
  call();
  now += milliseconds(1650);
  follower.on_response(record_events{ {}, 60, {} }, now);
  BOOST_TEST_REQUIRE((now - sent > settings.max_record_gap));
  BOOST_TEST((follower.outage_grace_end() > now));
}

// Guards against a running daemon whose targets get a longer heartbeat interval, and that goes on to take gaps of less
// than two heartbeats for outages.
BOOST_AUTO_TEST_CASE(a_longer_maximum_gap_takes_effect_while_the_daemon_runs)
{
  list(50);
  settings.max_record_gap = milliseconds(4000);
  follower.set_settings(settings);
  now += milliseconds(3900);
  call();
  follower.on_response(record_events{ {}, 60, {} }, now);
  BOOST_TEST((follower.outage_grace_end() <= now));
  now += milliseconds(4100);
  call();
  follower.on_response(record_events{ {}, 70, {} }, now);
  BOOST_TEST((follower.outage_grace_end() > now));
}

// Load pattern: hundreds of daemons start together before a store whose current pages are expensive. Old pages are of
// different ages, so that the changes since the oldest of them are needed, and they are needed at once.
BOOST_AUTO_TEST_CASE(a_first_list_of_old_pages_is_brought_up_to_date_without_a_wait)
{
  call();
  follower.on_response(record_page{ {}, 50, "k", true, {} }, now);
  call();
  const auto progress = follower.on_response(record_page{ {}, 43, "z", false, {} }, now);
  BOOST_TEST(progress.snapshot_complete.value().revision == 43U);
  BOOST_TEST(!follower.confirmed_at().has_value());
  BOOST_TEST((std::get<watch_call>(call()) == watch_call{ 43, milliseconds(0) }));
  follower.on_response(record_events{ {}, 61, {} }, now);
  BOOST_TEST((follower.confirmed_at().value() == now));
  BOOST_TEST((std::get<watch_call>(call()) == watch_call{ 61, settings.watch_wait }));
}

// A daemon that knows newer records could not tell a removed record in an old page from one that was added.
BOOST_AUTO_TEST_CASE(a_daemon_that_knows_records_does_not_list_old_ones)
{
  call();
  follower.on_response(record_page{ {}, 50, "", false, {} }, now);
  call();
  follower.on_response(history_unavailable{}, now);
  BOOST_TEST((std::get<list_call>(call()) == list_call{ "", false }));
  BOOST_TEST(follower.relists_from_store());
  const record_response older = record_page{ {}, 49, "", false, {} };
  BOOST_TEST(follower.goes_back(older));
  BOOST_TEST(!follower.goes_back(record_page{ {}, 50, "", false, {} }));
}

// Load pattern: a reader falls silent, and the next one takes over with old records while nothing changes.
BOOST_AUTO_TEST_CASE(old_records_are_confirmed_without_a_wait)
{
  list(50);
  now += settings.max_peer_record_age + milliseconds(1);
  BOOST_TEST((std::get<watch_call>(call()) == watch_call{ 50, milliseconds(0) }));
  follower.on_peer_failure();
  const auto patient = follower.next_call(record_sender::other_domain, true, now);
  BOOST_TEST((std::get<watch_call>(patient->call) == watch_call{ 50, settings.peer_wait }));
}

// Load pattern: a reader falls silent, and its followers move to a daemon that has confirmed its records before they
// ask it. A response without changes would come after the wait.
BOOST_AUTO_TEST_CASE(the_first_watch_of_another_source_does_not_wait)
{
  list(50);
  now += milliseconds(500);
  follower.on_source_changed();
  const auto first = follower.next_call(record_sender::own_domain, false, now);
  BOOST_TEST((std::get<watch_call>(first->call) == watch_call{ 50, milliseconds(0) }));
  follower.on_response(record_events{ {}, 50, {} }, now);
  const auto second = follower.next_call(record_sender::own_domain, false, now);
  BOOST_TEST((std::get<watch_call>(second->call) == watch_call{ 50, settings.peer_wait }));
}

// Load pattern: many changes in a row use up the call budget. The pause before the next watch must not add to the age
// of the records that the followers see.
BOOST_AUTO_TEST_CASE(a_pause_before_a_watch_of_the_store_shortens_its_wait)
{
  list(50);
  now += milliseconds(400);
  BOOST_TEST((std::get<watch_call>(call()) == watch_call{ 50, settings.watch_wait - milliseconds(400) }));
}

// Load pattern: the store refuses a reader, and its followers move to another daemon of the domain, which was served
// all the time. The targets of the domain could reach the store as well, so their removed records mean what they say.
BOOST_AUTO_TEST_CASE(a_gap_that_another_daemon_of_the_domain_did_not_have_is_no_outage)
{
  list(50);
  now += settings.max_record_gap + milliseconds(500);
  BOOST_REQUIRE(follower.next_call(record_sender::own_domain, false, now).has_value());
  follower.on_response(record_events{ {}, 60, { milliseconds(100), milliseconds(0) } }, now);
  BOOST_TEST((follower.outage_grace_end() <= now));
  now += settings.max_record_gap + milliseconds(500);
  BOOST_REQUIRE(follower.next_call(record_sender::own_domain, false, now).has_value());
  follower.on_response(record_events{ {}, 60, { milliseconds(100), milliseconds(900) } }, now);
  BOOST_TEST((follower.outage_grace_end() == now + milliseconds(900)));
}

// The store sends a second copy of a response, which arrives as the response to the next call on the connection. Taken
// for it, it would skip a page, or confirm old records.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_response_does_not_pass_for_the_next_one)
{
  call();
  follower.on_response(record_page{ {}, 50, "k", true, {} }, now);
  call();
  BOOST_TEST(follower.answers_earlier_call(record_page{ {}, 50, "k", true, {} }));
  BOOST_TEST(!follower.answers_earlier_call(record_page{ {}, 50, "m", true, {} }));
  follower.on_response(record_page{ {}, 50, "z", false, {} }, now);
  call();
  const record_events events{ { { 51, target_removed{ "t-1" } } }, 51, {} };
  BOOST_TEST(!follower.answers_earlier_call(events));
  follower.on_response(events, now);
  call();
  BOOST_TEST(follower.answers_earlier_call(events));
  BOOST_TEST(follower.answers_earlier_call(record_events{ {}, 50, {} }));
  BOOST_TEST(!follower.answers_earlier_call(record_events{ {}, 51, {} }));
}

// A daemon that asked for more changes than fit in a response discarded it and asked again until the history ended.
BOOST_AUTO_TEST_CASE(changes_that_are_too_large_for_one_response_are_replaced_by_a_list)
{
  list(50);
  BOOST_TEST(std::holds_alternative<watch_call>(call()));
  follower.on_response(call_failed{ { error_kind::too_large, "the answer is too large" } }, now);
  BOOST_TEST(follower.failures() == 0U);
  now += milliseconds(500);
  BOOST_TEST((std::get<list_call>(call()) == list_call{ "", false }));
  // A page that is too large is a failure like others.
  follower.on_response(call_failed{ { error_kind::too_large, "the answer is too large" } }, now);
  BOOST_TEST(follower.failures() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
