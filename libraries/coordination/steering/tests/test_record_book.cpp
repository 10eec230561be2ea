#include "steering_fixture.h"

#include "coltsfootlock/coordination/steering/record_book.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;
using coltsfootlock::testing::steering_fixture;

namespace {

record_change
published(std::uint64_t revision, std::uint64_t tag)
{
  return { revision, target_published{ steering_fixture::make_target(tag, "a") } };
}

record_change
removed(std::uint64_t revision, std::uint64_t tag)
{
  return { revision, target_removed{ "t-" + std::to_string(tag) } };
}

struct book_fixture
{
  record_book book;

  book_fixture()
  {
    book.begin_snapshot();
    book.apply(published(1, 1));
    book.apply(published(2, 2));
    book.end_snapshot(5);
  }
};

}

BOOST_FIXTURE_TEST_SUITE(record_books, book_fixture)

BOOST_AUTO_TEST_CASE(a_follower_gets_what_it_has_not_seen)
{
  book.apply(published(6, 3));
  book.apply(removed(8, 1));
  book.advance(9);
  BOOST_TEST(book.since(5)->size() == 2U);
  BOOST_TEST_REQUIRE(book.since(6)->size() == 1U);
  BOOST_TEST((book.since(6)->front() == removed(8, 1)));
  BOOST_TEST(book.since(9)->empty());
  BOOST_TEST(book.all()->size() == 2U);
}

// Removals before the last full list are not known one by one, so a follower from before it needs the list.
BOOST_AUTO_TEST_CASE(a_follower_from_before_the_list_is_told_to_list)
{
  BOOST_TEST(!book.since(4).has_value());
  book.apply(removed(7, 1));
  book.begin_snapshot();
  BOOST_TEST(!book.all().has_value());
  BOOST_TEST(!book.since(6).has_value());
  book.apply(published(2, 2));
  book.end_snapshot(10);
  BOOST_TEST(!book.since(6).has_value());
  BOOST_TEST(book.since(10)->empty());
  BOOST_TEST(book.all()->size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_older_change_does_not_replace_a_newer_one)
{
  book.apply(removed(7, 1));
  book.apply(published(9, 1));
  book.apply(published(8, 1));
  BOOST_TEST(book.all()->size() == 2U);
  BOOST_TEST(book.since(7)->size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_kept_changes_are_bounded)
{
  const std::uint64_t last = 10 + 2 * record_book::most_changes;
  for (std::uint64_t revision = 10; revision < last; ++revision) {
    book.apply(published(revision, 1));
  }
  BOOST_TEST(!book.since(10).has_value());
  BOOST_TEST(book.since(last - 10)->size() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
