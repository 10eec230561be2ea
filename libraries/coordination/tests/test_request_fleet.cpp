#include "request_fleet.h"

#include "coltsfootlock/coordination/invariant.h"

#include "seed.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

// COLTSFOOTLOCK_SEED reproduces a run, COLTSFOOTLOCK_STEPS sets its length.
void
drive(bool faults)
{
  abort_on_invariant_failure(true);
  const std::uint64_t seed = testing::test_seed();
  const std::uint64_t steps = testing::number_from_environment("COLTSFOOTLOCK_STEPS", 20000);
  BOOST_TEST_MESSAGE("request fleet, faults " << faults << ", COLTSFOOTLOCK_SEED=" << seed << ", steps " << steps);
  request_fleet fleet(seed, faults);
  fleet.run(steps);
  fleet.quiesce();
  for (const auto& [name, count] : fleet.event_counts) {
    BOOST_TEST_MESSAGE("  " << name << ": " << count);
  }
  for (const std::string& text : fleet.violations) {
    BOOST_ERROR(text << ", COLTSFOOTLOCK_SEED=" << seed);
  }
  // Without served requests the run would not test the guarantees.
  BOOST_TEST(fleet.event_counts["answered"] > steps / (faults ? 50 : 4));
}

}

BOOST_AUTO_TEST_SUITE(request_fleets)

// Guards against a key that runs twice, a false "not run", a target above its limit, a wrong answer, and an attempt
// with two outcomes, under loss, duplicates, reordering, partitions, pauses, restarts and list changes.
BOOST_AUTO_TEST_CASE(guarantees_hold_under_faults)
{
  drive(true);
}

// Guards against an accepted request that never gets an outcome while lists change, daemons pause and targets restart.
BOOST_AUTO_TEST_CASE(each_attempt_ends_without_losses)
{
  drive(false);
}

BOOST_AUTO_TEST_SUITE_END()
