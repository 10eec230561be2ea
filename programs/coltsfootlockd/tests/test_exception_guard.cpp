#include "carried/exception_guard.h"

#include <stdexcept>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

BOOST_AUTO_TEST_SUITE(exception_guards)

BOOST_AUTO_TEST_CASE(an_error_in_one_part_is_counted_and_ends_nothing_else)
{
  exception_guard guard;
  bool done = false;
  BOOST_TEST(!guard.run("records", [] { throw std::runtime_error("malformed"); }));
  BOOST_TEST(guard.run("flow", [&done] { done = true; }));
  BOOST_TEST(done);
  BOOST_TEST(guard.errors() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
