#include "coltsfootlock/state/flow_table.h"

#include <map>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace coltsfootlock;

BOOST_AUTO_TEST_SUITE(flow_tables)

// Guards against an entry that is missing or found under another key after other entries were erased or the index grew.
BOOST_AUTO_TEST_CASE(agrees_with_a_map)
{
  BOOST_TEST(rc::check([] {
    flow_table table(2000);
    std::map<std::uint16_t, std::uint32_t> expected;
    const auto steps = *rc::gen::container<std::vector<std::pair<std::uint16_t, bool>>>(
      rc::gen::pair(rc::gen::inRange<std::uint16_t>(0, 1500), rc::gen::arbitrary<bool>()));
    std::uint32_t value = 0;
    const auto key = [](std::uint16_t port) { return flow_key{ { 1, port }, { 2, 80 } }; };
    for (std::uint16_t port = 0; port < 1000; ++port) { // exceeds the initial size of the index
      table.insert(key(port))->target = ++value;
      expected[port] = value;
    }
    for (const auto& [port, inserts] : steps) {
      if (inserts) {
        table.insert(key(port))->target = ++value;
        expected[port] = value;
      } else {
        table.erase(key(port));
        expected.erase(port);
      }
    }
    RC_ASSERT(table.size() == expected.size());
    for (std::uint16_t port = 0; port < 1500; ++port) {
      const flow_entry* found = table.find(key(port));
      const auto wanted = expected.find(port);
      RC_ASSERT((found != nullptr) == (wanted != expected.end()));
      const bool equal = found == nullptr || found->target == wanted->second;
      RC_ASSERT(equal);
    }
  }));
}

// Guards against unbounded memory use when callers keep opening flows.
BOOST_AUTO_TEST_CASE(a_full_table_refuses_new_entries)
{
  flow_table table(3);
  for (std::uint16_t port = 1; port <= 3; ++port) {
    BOOST_TEST(table.insert({ { 1, port }, { 2, 80 } }) != nullptr);
  }
  BOOST_TEST(table.insert({ { 1, 4 }, { 2, 80 } }) == nullptr);
  table.erase({ { 1, 2 }, { 2, 80 } });
  BOOST_TEST(table.insert({ { 1, 4 }, { 2, 80 } }) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
