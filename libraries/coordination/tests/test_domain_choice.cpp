#include "domain_choice.h"

#include <map>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

BOOST_AUTO_TEST_SUITE(domain_choices)

// Guards against uneven use of domains whose shares of daemons and targets differ, and against needless traffic
// between domains.
BOOST_AUTO_TEST_CASE(only_the_surplus_leaves_a_domain)
{
  const std::vector<domain_choice::domain_load> loads{ { 4, 4 }, { 2, 4 }, { 2, 8 } };
  std::map<std::size_t, double> busy;
  for (std::size_t own = 0; own < loads.size(); ++own) {
    const domain_choice choice(loads, own);
    for (std::uint64_t item = 0; item < 10000; ++item) {
      const auto chosen = choice.choose(item * 0x9e3779b97f4a7c15U);
      BOOST_REQUIRE(chosen.has_value());
      BOOST_REQUIRE((own == 0 || *chosen == own)); // Only the first domain has a surplus.
      busy[*chosen] += loads[own].entries / 10000;
    }
  }
  for (std::size_t domain = 0; domain < loads.size(); ++domain) {
    BOOST_TEST(busy[domain] / loads[domain].capacity == 0.5, boost::test_tools::tolerance(0.03));
  }
}

// Guards against a choice among domains without any capacity.
BOOST_AUTO_TEST_CASE(no_capacity_means_no_choice)
{
  BOOST_TEST(!domain_choice({ { 1, 0 }, { 1, 0 } }, 0).choose(1).has_value());
  BOOST_TEST(domain_choice({ { 1, 0 }, { 1, 5 } }, 0).choose(1).value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
