#include "coltsfootlock/coordination/share.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace coltsfootlock;

namespace {

std::vector<vm_id>
members(std::size_t count)
{
  std::vector<vm_id> names;
  for (std::size_t index = 0; index < count; ++index) {
    names.push_back("entry-" + std::to_string(100 + index));
  }
  return names;
}

}

BOOST_AUTO_TEST_SUITE(shares)

// Guards against shares whose sum exceeds the limit or leaves a part of it unused.
BOOST_AUTO_TEST_CASE(shares_of_one_set_sum_to_the_limit)
{
  BOOST_TEST(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 65);
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 3000);
    const std::vector<entry_set> sets{ { members(count), {} } };
    std::uint32_t sum = 0;
    for (const vm_id& self : sets.front().members) {
      sum += share_of({ limit, limit }, sets, self, "target-7").slots;
    }
    RC_ASSERT(sum == limit);
  }));
}

// Guards against exceeding the limit while some daemons are still in the transition and others have settled.
BOOST_AUTO_TEST_CASE(a_transition_never_exceeds_the_limit)
{
  BOOST_TEST(rc::check([] {
    const auto before = *rc::gen::inRange<std::size_t>(1, 12);
    const auto after = *rc::gen::inRange<std::size_t>(1, 12);
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 40);
    const entry_set old_set{ members(before), {} };
    const entry_set new_set{ members(after), {} };
    std::uint32_t sum = 0;
    for (const vm_id& self : members(std::max(before, after))) {
      const bool settled = *rc::gen::arbitrary<bool>();
      const std::vector<entry_set> sets =
        settled ? std::vector<entry_set>{ new_set } : std::vector<entry_set>{ old_set, new_set };
      sum += share_of({ limit, limit }, sets, self, "target-7").slots;
    }
    RC_ASSERT(sum <= limit);
  }));
}

// Guards against a target in cold start that gets its full load at once.
BOOST_AUTO_TEST_CASE(allowance_grows_from_cold_to_full)
{
  const target_limits limits{ 4, 2000, 1, 100, 10 };
  const instant start{ seconds(50) };
  BOOST_TEST(allowance_at(limits, start, start).slots == 1U);
  BOOST_TEST(allowance_at(limits, start, start).connections == 100U);
  BOOST_TEST(allowance_at(limits, start, start + seconds(5)).connections == 1050U);
  BOOST_TEST(allowance_at(limits, start, start + seconds(10)).slots == 4U);
  BOOST_TEST(allowance_at(limits, start, start + seconds(10)).connections == 2000U);
}

// Guards against a daemon that continues after a pause although its authority has expired.
BOOST_AUTO_TEST_CASE(authority_ends_by_the_clock)
{
  const instant start{ seconds(50) };
  routing_view view;
  view.spending_sets = { { members(2), {} } };
  view.spend_from = start;
  view.spend_authority_until = start + seconds(2);
  view.key_authority_until = start + seconds(1);
  BOOST_TEST(!may_spend(view, start - milliseconds(1)));
  BOOST_TEST(may_spend(view, start));
  BOOST_TEST(may_accept_keys(view, start));
  BOOST_TEST(!may_accept_keys(view, start + seconds(1)));
  BOOST_TEST(!may_spend(view, start + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
