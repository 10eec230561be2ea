#include "steering_fixture.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;
using coltsfootlock::testing::steering_fixture;

namespace {

constexpr milliseconds longest_time = std::chrono::days(365);

/// A daemon that receives records all the time, with a flow to a target whose record is removed.
struct extreme_fixture : steering_fixture
{
  steering_settings settings = make_settings();

  void remove_record_of_target_with_flow()
  {
    engine.set_settings(settings);
    records_arrive = true;
    publish(make_target(1, "a"));
    establish(flow_of(1));
    remove(1);
  }
};

}

BOOST_FIXTURE_TEST_SUITE(extreme_settings, extreme_fixture)

// Guards against a very short heartbeat interval, within which no target shows that it is alive: the flows of a target
// that lost only its record were reset.
BOOST_AUTO_TEST_CASE(a_live_target_without_a_record_keeps_its_flows_at_any_heartbeat_interval)
{
  settings.target_heartbeat = milliseconds(1);
  remove_record_of_target_with_flow();
  for (std::uint32_t position = 2; position < 12; ++position) {
    BOOST_TEST(pass(steering_timing::alive_report_interval).empty());
    BOOST_TEST(tag_of(send(flow_of(1), token_of_tag(1), position)) == 1U);
  }
}

// Guards against a daemon with a very short heartbeat interval that sees a target answer and does not say so to those
// that take it for gone.
BOOST_AUTO_TEST_CASE(a_live_target_without_a_record_is_reported_at_any_heartbeat_interval)
{
  settings.target_heartbeat = milliseconds(1);
  remove_record_of_target_with_flow();
  send(flow_of(1), token_of_tag(1), 1, 101, 10);
  pass(steering_timing::tick_interval);
  send(flow_of(1), token_of_tag(1), 2, 111, 10); // A request that acknowledges the previous answer.
  BOOST_TEST(engine.take_observations().size() == 1U);
}

// Guards against a very short lifetime of flows, after which a target that is gone was forgotten before its callers got
// their resets: they waited until they gave up.
BOOST_AUTO_TEST_CASE(flows_of_a_target_that_is_gone_are_reset_at_any_lifetime)
{
  settings.flow_lifetime = milliseconds(1);
  remove_record_of_target_with_flow();
  const auto resets = pass(2 * settings.target_heartbeat + steering_timing::report_transfer_time);
  BOOST_TEST_REQUIRE(resets.size() == 1U);
  BOOST_TEST((resets[0].reason == flow_end_reason::target_gone));
}

// Guards against sums of the longest times that overflow: resets of the flows of live targets, or none at all.
BOOST_AUTO_TEST_CASE(the_longest_times_do_not_overflow)
{
  settings.target_heartbeat = longest_time;
  settings.flow_lifetime = longest_time;
  remove_record_of_target_with_flow();
  BOOST_TEST(pass(seconds(10)).empty());
  BOOST_TEST(tag_of(send(flow_of(1), token_of_tag(1), 2)) == 1U);
  target_record restarted = make_target(1, "a");
  restarted.vm.incarnation = 2;
  publish(restarted);
  BOOST_TEST(pass(seconds(1)).empty());
}

// Guards against memory that grows with each replaced target until the process is killed.
BOOST_AUTO_TEST_CASE(targets_that_are_gone_are_forgotten_at_any_lifetime)
{
  settings.target_heartbeat = longest_time;
  settings.flow_lifetime = longest_time;
  remove_record_of_target_with_flow();
  now += steering_timing::max_gone_target_retention;
  engine.tick(now);
  BOOST_TEST(engine.targets() == 1U);
  now += steering_timing::tick_interval;
  engine.tick(now);
  BOOST_TEST(engine.targets() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
