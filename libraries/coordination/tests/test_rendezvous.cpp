#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

BOOST_AUTO_TEST_SUITE(rendezvous)

// Guards against an added candidate causing items to move between the other candidates.
BOOST_AUTO_TEST_CASE(a_join_moves_items_only_to_the_new_candidate)
{
  std::vector<std::string> names{ "a", "b", "c", "d" };
  std::vector<std::string> grown = names;
  grown.emplace_back("e");
  std::size_t moved = 0;
  for (std::uint64_t item = 0; item < 20000; ++item) {
    const std::string before = rendezvous_order(item, names).front();
    const std::string after = rendezvous_order(item, grown).front();
    if (before != after) {
      BOOST_REQUIRE(after == "e");
      ++moved;
    }
  }
  BOOST_TEST(moved > 3600U);
  BOOST_TEST(moved < 4400U);
}

// Guards against weights without effect, and against a candidate with weight 0 that is preferred.
BOOST_AUTO_TEST_CASE(weights_set_the_share_of_first_places)
{
  const std::vector<weighted_name> candidates{ { "a", 1 }, { "b", 3 }, { "none", 0 } };
  std::map<std::string, int> first;
  for (std::uint64_t item = 0; item < 20000; ++item) {
    const auto order = weighted_rendezvous_order(item, candidates);
    ++first[order.front()];
    BOOST_REQUIRE(order.back() == "none");
  }
  BOOST_TEST(first["b"] > 14500);
  BOOST_TEST(first["b"] < 15500);
}

// Guards against a rank that differs from the computed order.
BOOST_AUTO_TEST_CASE(rank_matches_order)
{
  const std::vector<std::string> names{ "a", "b", "c", "d", "e" };
  for (std::uint64_t item = 0; item < 100; ++item) {
    const auto order = rendezvous_order(item, names);
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
      BOOST_REQUIRE(rendezvous_rank(item, names, order[rank]) == rank);
    }
  }
  BOOST_TEST(rendezvous_rank(1, names, "x") == names.size());
}

BOOST_AUTO_TEST_SUITE_END()
