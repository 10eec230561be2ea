#include "coltsfootlock/coordination/steering/watch_response.h"

#include "coltsfootlock/coordination/steering/record_follower.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

BOOST_AUTO_TEST_SUITE(follower_answers)

BOOST_AUTO_TEST_CASE(a_watch_waits_while_there_are_no_changes)
{
  const instant requested(seconds(10));
  const pending_watch follower{ 7, requested, milliseconds(600), 0, milliseconds(2200) };
  const record_status same{ 7, milliseconds(300), requested - milliseconds(300) };
  BOOST_TEST(!response_is_due(follower, same, requested + milliseconds(599)));
  BOOST_TEST(response_is_due(follower, same, requested + milliseconds(600)));
  BOOST_TEST(response_is_due(follower, { 8, milliseconds(300), same.renewed_at }, requested));
  BOOST_TEST(response_is_due(follower, { 7, milliseconds(2201), same.renewed_at }, requested));
  BOOST_TEST(
    response_is_due(follower, { 7, milliseconds(5), requested + milliseconds(1) }, requested + milliseconds(6)));
}

// Load pattern: a store without changes and a chain of three daemons, 5 ms apart. The last one must not treat its
// records as too old and read the store itself.
BOOST_AUTO_TEST_CASE(the_age_of_records_stays_low_over_several_daemons)
{
  const follower_settings settings;
  const milliseconds way(5);
  struct link
  {
    pending_watch follower;
    instant confirmed;
    instant renewed;
  };
  const instant start(seconds(10));
  link links[3];
  milliseconds phase(0);
  for (link& one : links) {
    one = { { 7, start + phase, settings.peer_wait, 0, settings.max_peer_record_age }, start, start };
    phase += milliseconds(370); // Each requests shortly before the daemon that it follows gets changes.
  }
  instant source_confirmed = start;
  instant source_renewed = start;
  milliseconds max_observed_age(0);
  for (instant now = start; now < start + seconds(20); now += milliseconds(1)) {
    if (now - source_confirmed >= settings.watch_wait) {
      source_confirmed = now;
      source_renewed = now;
    }
    instant confirmed = source_confirmed;
    instant renewed = source_renewed;
    for (link& one : links) {
      const auto age = std::chrono::duration_cast<milliseconds>(now - confirmed);
      if (response_is_due(one.follower, { 7, age, renewed }, now)) {
        if (confirmed > one.confirmed) {
          one.confirmed = confirmed;
          one.renewed = now + way;
        }
        one.follower.requested_at = now + 2 * way;
      }
      max_observed_age = std::max(max_observed_age, std::chrono::duration_cast<milliseconds>(now - one.confirmed));
      confirmed = one.confirmed;
      renewed = one.renewed;
    }
  }
  BOOST_TEST(max_observed_age < settings.max_peer_record_age);
}

// Load pattern: the reader of a domain falls silent, and all others ask the next one, which has just called the store.
BOOST_AUTO_TEST_CASE(a_daemon_that_renews_old_records_lets_its_followers_wait)
{
  const instant requested(seconds(10));
  const pending_watch follower{ 7, requested, milliseconds(0), 0, milliseconds(2200) };
  const record_status renewing{ 7, milliseconds(2300), requested - milliseconds(2300), 0, true };
  BOOST_TEST(!response_is_due(follower, renewing, requested + milliseconds(10)));
  const record_status renewed{ 7, milliseconds(4), requested + milliseconds(8), 0, true };
  BOOST_TEST(response_is_due(follower, renewed, requested + milliseconds(12)));
  const record_status failed{ 7, milliseconds(2300), requested - milliseconds(2300), 0, false };
  BOOST_TEST(response_is_due(follower, failed, requested + milliseconds(10)));
}

// Load pattern: the store is away for all. A follower that has no better source does not ask again and again.
BOOST_AUTO_TEST_CASE(a_patient_follower_waits_for_a_renewal)
{
  const instant requested(seconds(10));
  const pending_watch follower{ 7, requested, milliseconds(600), 0, std::chrono::hours(24) };
  const record_status old{ 7, milliseconds(3000), requested - milliseconds(3000), 0, false };
  BOOST_TEST(!response_is_due(follower, old, requested + milliseconds(599)));
  BOOST_TEST(response_is_due(follower, old, requested + milliseconds(600)));
}

// Load pattern: many targets are lost at once. What one daemon found reaches the others before their next flows.
BOOST_AUTO_TEST_CASE(a_new_observation_is_sent_at_once)
{
  const instant requested(seconds(10));
  pending_watch follower{ 7, requested, milliseconds(600), 3, milliseconds(2200) };
  const record_status known{ 7, milliseconds(300), requested - milliseconds(300), 4 };
  BOOST_TEST(response_is_due(follower, known, requested + milliseconds(1)));
  follower.observation = 4;
  BOOST_TEST(!response_is_due(follower, known, requested + milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
