#include "carried/target_checks.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"
#include "coltsfootlock/transport/page_server.h"
#include "coltsfootlock/transport/udp_socket.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

constexpr endpoint any_port{ 0x7f000001, 0 };
const instant start(seconds(100));
const instant after_deadline = start + steering_timing::check_timeout + milliseconds(1);

struct checks_fixture
{
  error why;
  page_server server = std::move(*page_server::listen(any_port, why));
  target_checks checks;

  std::vector<check_result> advance(instant now, int wait_ms)
  {
    std::vector<pollfd> polled;
    checks.add_descriptors(polled);
    ::poll(polled.data(), polled.size(), wait_ms);
    return checks.advance(polled, now);
  }
};

using results = std::vector<check_result>;

/// Opens connections until the listen queue is full, so that the next attempt is not answered.
std::vector<connection_attempt>
fill_listen_queue(const page_server& server)
{
  std::vector<connection_attempt> queued;
  while (queued.size() < 1000 && (queued.empty() || queued.back().state() != connection_attempt::progress::waiting)) {
    queued.emplace_back(server.local());
    pollfd writable{ queued.back().descriptor(), POLLOUT, 0 };
    ::poll(&writable, 1, 100);
  }
  return queued;
}

}

BOOST_FIXTURE_TEST_SUITE(running_target_checks, checks_fixture)

BOOST_AUTO_TEST_CASE(accepted_and_refused_connections_are_distinguished)
{
  const endpoint unused_address = udp_socket::bind(any_port, why)->local();
  checks.start({ { "t-1", server.local() } }, start);
  BOOST_TEST((advance(start, 5000) == results{ { "t-1", check_outcome::accepted } }));
  checks.start({ { "t-2", unused_address } }, start);
  BOOST_TEST((advance(start, 5000) == results{ { "t-2", check_outcome::refused } }));
}

// Load pattern: all daemons start with small shares of a core, and rounds of the event loop take longer than a check.
// The poll() of a round returns before the answer and the round ends after the deadline, although the target has
// answered.
BOOST_AUTO_TEST_CASE(an_answer_that_a_late_round_has_not_seen_counts)
{
  checks.start({ { "t-1", server.local() } }, start);
  std::vector<pollfd> before_the_answer;
  checks.add_descriptors(before_the_answer);
  BOOST_TEST((checks.advance(before_the_answer, after_deadline) == results{ { "t-1", check_outcome::accepted } }));
}

// The answer to a later check makes the silence of an earlier one conclusive, so it has to be known first.
BOOST_AUTO_TEST_CASE(answers_are_handled_before_the_silence_of_earlier_checks)
{
  page_server full = std::move(*page_server::listen(any_port, why));
  const std::vector<connection_attempt> queued = fill_listen_queue(full);
  checks.start({ { "t-1", full.local() }, { "t-2", server.local() } }, start);
  std::vector<pollfd> before_the_answer;
  checks.add_descriptors(before_the_answer);
  BOOST_TEST((checks.advance(before_the_answer, after_deadline) ==
              results{ { "t-2", check_outcome::accepted }, { "t-1", check_outcome::silent } }));
}

BOOST_AUTO_TEST_CASE(a_target_without_an_answer_is_silent_after_the_deadline)
{
  const std::vector<connection_attempt> queued = fill_listen_queue(server);
  checks.start({ { "t-1", server.local() } }, start);
  BOOST_TEST(advance(start, 100).empty());
  BOOST_TEST((advance(after_deadline, 0) == results{ { "t-1", check_outcome::silent } }));
}

BOOST_AUTO_TEST_SUITE_END()
