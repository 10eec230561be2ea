#include "carried/graceful_shutdown.h"

#include <vector>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

constexpr instant started{ seconds(100) };

/// Time from SIGTERM to the exit of a daemon that packets keep reaching.
milliseconds
time_to_exit(milliseconds grace)
{
  graceful_shutdown shutdown;
  shutdown.begin(started);
  instant now = started;
  while (!shutdown.may_exit(now, grace, now)) {
    now += milliseconds(1);
  }
  return std::chrono::duration_cast<milliseconds>(now - started);
}

}

BOOST_AUTO_TEST_SUITE(graceful_shutdowns)

// Guards against a grace period that is shorter than the time reserved for the exit: the daemon left at once, and
// requests that it could have forwarded were cut.
BOOST_AUTO_TEST_CASE(a_short_grace_period_is_used_and_kept)
{
  for (const milliseconds grace : std::vector<milliseconds>{
         milliseconds(2), milliseconds(100), milliseconds(500), milliseconds(1000), milliseconds(1500) }) {
    BOOST_TEST(time_to_exit(grace).count() >= grace.count() / 2, grace.count());
    BOOST_TEST((time_to_exit(grace) < grace), grace.count());
  }
  BOOST_TEST(time_to_exit(milliseconds(0)).count() == 0);
}

// Guards against a fraction of a second in the grace period that is not used.
BOOST_AUTO_TEST_CASE(a_second_of_the_grace_period_is_left_for_the_exit)
{
  BOOST_TEST(time_to_exit(milliseconds(2000)).count() == 1000);
  BOOST_TEST(time_to_exit(milliseconds(6000)).count() == 5000);
  BOOST_TEST(time_to_exit(milliseconds(6500)).count() == 5500);
}

// Guards against an overflow that ends the process at once.
BOOST_AUTO_TEST_CASE(the_longest_grace_period_does_not_overflow)
{
  graceful_shutdown shutdown;
  shutdown.begin(started);
  BOOST_TEST(!shutdown.may_exit(started, std::chrono::days(365), started + std::chrono::days(364)));
  BOOST_TEST(shutdown.may_exit(started, std::chrono::days(365), started + std::chrono::days(365)));
}

// Guards against a daemon that cuts requests because it exits before it is out of rotation.
BOOST_AUTO_TEST_CASE(a_daemon_out_of_rotation_exits_once_no_packets_arrive)
{
  graceful_shutdown shutdown;
  shutdown.on_refused_probe(); // Before SIGTERM, for another reason.
  BOOST_TEST(!shutdown.may_exit(started, seconds(6), started + seconds(60)));
  BOOST_TEST(!shutdown.deadline(seconds(6)).has_value());
  shutdown.begin(started);
  shutdown.on_refused_probe();
  BOOST_TEST(!shutdown.may_exit(started, seconds(6), started + seconds(2)));
  shutdown.on_refused_probe();
  BOOST_TEST(shutdown.may_exit(started, seconds(6), started + seconds(2)));
  BOOST_TEST(!shutdown.may_exit(started + milliseconds(1900), seconds(6), started + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
