#include "coltsfootlock/coordination/steering/isolation_detector.h"
#include "steering_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;
using coltsfootlock::testing::steering_fixture;

BOOST_AUTO_TEST_SUITE(isolation)

BOOST_AUTO_TEST_CASE(silence_of_all_targets_shows_isolation_and_one_answer_ends_it)
{
  isolation_detector watch;
  instant now(seconds(1));
  for (int packet = 0; packet < 10; ++packet) {
    now += milliseconds(30);
    watch.on_request(now);
    watch.tick(true, now);
  }
  BOOST_TEST(!watch.isolated());
  now += milliseconds(300);
  watch.tick(true, now);
  BOOST_TEST(watch.isolated());
  watch.on_progress();
  BOOST_TEST(!watch.isolated());
}

BOOST_AUTO_TEST_CASE(few_packets_and_a_pause_show_nothing)
{
  isolation_detector watch;
  instant now(seconds(1));
  for (int packet = 0; packet < 4; ++packet) {
    watch.on_request(now);
  }
  watch.tick(true, now + seconds(2));
  BOOST_TEST(!watch.isolated());
  watch.on_request(now);
  watch.on_pause();
  watch.tick(true, now + seconds(2));
  BOOST_TEST(!watch.isolated());
}

// Guards against a daemon that stays isolated because it gets no traffic that could show the end of its isolation.
BOOST_AUTO_TEST_CASE(isolation_ends_with_fresh_records_or_after_a_time)
{
  for (const bool records_current : { true, false }) {
    isolation_detector watch;
    const instant now(seconds(1));
    for (int packet = 0; packet < 5; ++packet) {
      watch.on_request(now);
    }
    watch.tick(records_current, now + milliseconds(500));
    BOOST_TEST(watch.isolated());
    watch.tick(records_current, now + milliseconds(500) + isolation_detector::min_isolation);
    BOOST_TEST(watch.isolated() == !records_current);
    watch.tick(records_current, now + milliseconds(500) + isolation_detector::max_isolation);
    BOOST_TEST(!watch.isolated());
  }
}

// Load pattern: the daemon's own domain is out of service, and the daemon is cut off from the others. Callers retry and
// then stop.
BOOST_FIXTURE_TEST_CASE(a_daemon_cut_off_from_all_targets_is_isolated, steering_fixture)
{
  for (std::uint64_t tag = 1; tag <= 6; ++tag) {
    publish(make_target(tag, tag <= 3 ? "a" : "b"));
  }
  engine.on_record({ ++revision, domain_switched{ "a", false } }, outage_grace_end, now);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    establish(flow_of(port, port));
  }
  BOOST_TEST(!engine.isolated());
  for (std::uint16_t port = 1; port <= 20; ++port) {
    send(flow_of(port, port), token_of_tag(4), 1, 101, 200);
    pass(milliseconds(50));
  }
  BOOST_TEST(engine.isolated());
  send(flow_of(30, 30), token_of_tag(5), 1);
  send(flow_of(30, 30), token_of_tag(5), 2);
  BOOST_TEST(!engine.isolated());
}

BOOST_AUTO_TEST_SUITE_END()
