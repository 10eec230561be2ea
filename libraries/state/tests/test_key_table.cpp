#include "coltsfootlock/state/key_table.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

BOOST_AUTO_TEST_SUITE(key_tables)

// Guards against a key that is forgotten within its retention or while it runs, and against one that is never removed.
BOOST_AUTO_TEST_CASE(keys_stay_for_the_retention)
{
  const instant start{ seconds(10) };
  key_table table(2, 100, seconds(5));
  key_entry* answered = table.insert({ {}, "a" }, start);
  table.insert({ {}, "b" }, start);
  BOOST_TEST(table.insert({ {}, "c" }, start) == nullptr);
  table.answer(*answered, { "one", "two" });
  table.expire(start + milliseconds(4999));
  BOOST_TEST(table.size() == 2U);
  table.expire(start + seconds(5));
  BOOST_TEST(table.find({ {}, "a" }) == nullptr);
  BOOST_TEST(table.find({ {}, "b" }) != nullptr); // Still queued.
  BOOST_TEST(table.insert({ { 1, 1 }, "b" }, start) != nullptr);
}

// Guards against unbounded stored answers, and against expired answers that still count toward the limit.
BOOST_AUTO_TEST_CASE(answers_are_bounded)
{
  const instant start{ seconds(10) };
  key_table table(10, 6, seconds(5));
  key_entry* first = table.insert({ {}, "a" }, start);
  key_entry* second = table.insert({ {}, "b" }, start + seconds(1));
  table.answer(*first, { "four" });
  table.answer(*second, { "four" });
  BOOST_TEST((first->answer && !second->answer));
  BOOST_TEST((second->state == key_state::answered));
  table.expire(start + seconds(5));
  key_entry* third = table.insert({ {}, "c" }, start + seconds(5));
  table.answer(*third, { "four" });
  BOOST_TEST(third->answer != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
