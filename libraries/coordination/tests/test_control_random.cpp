#include "coltsfootlock/coordination/invariant.h"
#include "fleet_fault_injector.h"

#include <iostream>
#include <string>

#include "seed.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

}

BOOST_AUTO_TEST_SUITE(control_random)

// Guards against shares beyond a limit or a cold allowance, keys with two owners, catalogues that are replaced by older
// ones or do not arrive, platform calls beyond the budget, and a fleet that does not recover after all faults have
// ended.
BOOST_AUTO_TEST_CASE(a_fleet_under_random_faults)
{
  abort_on_invariant_failure(true);
  const std::uint64_t first = testing::test_seed();
  const std::uint64_t runs = testing::number_from_environment("COLTSFOOTLOCK_RUNS", 2);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    std::cout << "control_random: seed " << seed << std::endl;
    fleet_fault_injector injector(seed);
    for (int round = 0; round < 3; ++round) {
      for (int action = 0; action < 25; ++action) {
        injector.run_random_action();
      }
      injector.recover();
    }
  }
  BOOST_TEST(invariant_failures() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
