#include "coltsfootlock/coordination/steering/source_choice.h"

#include <map>
#include <memory>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

fleet_member
member(int number, const std::string& domain = "a")
{
  return { "entry-" + std::to_string(number), domain, { 0x0a000000U + static_cast<std::uint32_t>(number), 80 } };
}

struct choice_fixture
{
  instant now = instant(seconds(1));
  std::map<std::string, std::unique_ptr<source_choice>> daemons;

  choice_fixture()
  {
    for (int number = 0; number < 28; ++number) {
      daemons[member(number).id] = std::make_unique<source_choice>(member(number).id, "a");
    }
    exchange_members();
  }

  void exchange_members()
  {
    for (auto& [id, daemon] : daemons) {
      for (int number = 0; number < 28; ++number) {
        daemon->on_member(member(number), now);
      }
    }
  }

  /// Daemons that read the store.
  std::set<std::string> readers() const
  {
    std::set<std::string> result;
    for (const auto& [id, daemon] : daemons) {
      if (!daemon->peer(now)) {
        result.insert(id);
      }
    }
    return result;
  }
};

}

BOOST_FIXTURE_TEST_SUITE(source_choices, choice_fixture)

// Load pattern: 28 daemons of a domain, of which only one is to call the store.
BOOST_AUTO_TEST_CASE(one_daemon_of_a_domain_reads_the_store)
{
  const auto reading = readers();
  BOOST_TEST_REQUIRE(reading.size() == 1U);
  for (const auto& [id, daemon] : daemons) {
    if (id != *reading.begin()) {
      BOOST_TEST(daemon->peer(now)->id == *reading.begin());
    }
  }
}

// Guards against a domain that gets no changes after its reader dies, and against all of its daemons then reading the
// store.
BOOST_AUTO_TEST_CASE(one_other_daemon_takes_over_from_a_reader_that_fails)
{
  const std::string first = *readers().begin();
  for (auto& [id, daemon] : daemons) {
    daemon->on_failure(first, now);
  }
  auto reading = readers();
  reading.erase(first);
  BOOST_TEST(reading.size() == 1U);
  now += source_choice::initial_exclusion + milliseconds(1);
  BOOST_TEST((readers() == std::set<std::string>{ first }));
}

BOOST_AUTO_TEST_CASE(a_member_that_keeps_failing_is_left_out_for_longer)
{
  const std::string first = *readers().begin();
  source_choice& daemon = *daemons.begin()->second;
  for (int failures = 0; failures < 5; ++failures) {
    daemon.on_failure(first, now);
  }
  now += source_choice::initial_exclusion * 2;
  BOOST_TEST((!daemon.peer(now) || daemon.peer(now)->id != first));
}

BOOST_AUTO_TEST_CASE(without_other_members_the_store_is_read)
{
  source_choice alone("entry-1", "a");
  alone.on_member(member(1), now); // Its own entry is ignored.
  BOOST_TEST(!alone.peer(now).has_value());
  BOOST_TEST(!alone.fallback(now).has_value());
  alone.on_member(member(7, "b"), now);
  BOOST_TEST(!alone.peer(now).has_value()); // Another domain's daemon may be cut off from this one.
}

// Load pattern: the store refuses all daemons of a domain. They stay up to date through another domain.
BOOST_AUTO_TEST_CASE(a_domain_that_the_store_refuses_follows_another_domain)
{
  source_choice daemon("entry-1", "a");
  daemon.on_member(member(2), now);
  daemon.on_member(member(7, "b"), now);
  daemon.on_member(member(8, "c"), now);
  BOOST_TEST(daemon.fallback(now)->id == "entry-2");
  daemon.on_failure("entry-2", now);
  const std::string first = daemon.fallback(now)->id;
  BOOST_TEST((first == "entry-7" || first == "entry-8"));
  daemon.on_failure(first, now);
  BOOST_TEST(daemon.fallback(now)->id == (first == "entry-7" ? "entry-8" : "entry-7"));
  BOOST_TEST(!daemon.peer(now).has_value());
}

BOOST_AUTO_TEST_CASE(a_member_list_has_the_own_domain_and_some_members_of_others)
{
  source_choice seed("entry-100", "a");
  for (int number = 0; number < 10; ++number) {
    seed.on_member(member(number, "a"), now);
    seed.on_member(member(20 + number, "b"), now);
  }
  const member_list list = seed.member_list_for("a", now);
  BOOST_TEST(list.members.size() == source_choice::min_listed_members + source_choice::members_per_other_domain);
  BOOST_TEST(list.daemons_in_domain == 11U);
  source_choice daemon("entry-3", "a");
  daemon.on_member_list(list, now);
  BOOST_TEST(daemon.daemons_in_domain(now) == 11U);
}

// The reader has the highest rank. When the store refuses its calls, it follows the next daemon by rank.
BOOST_AUTO_TEST_CASE(a_reader_that_the_store_refuses_has_another_daemon_to_follow)
{
  const std::string reader = *readers().begin();
  BOOST_TEST(!daemons[reader]->peer(now).has_value());
  BOOST_TEST(daemons[reader]->fallback(now).has_value());
}

// Load pattern: a domain of 528 daemons (1,584 in three domains) starts at once and fetches all records.
BOOST_AUTO_TEST_CASE(a_large_domain_spreads_its_followers_over_relays)
{
  for (const int size : { 100, 528 }) {
    source_choice seed("entry-100000", "z"); // Of another domain, so that it is not a member of the domain under test.
    for (int number = 0; number < size; ++number) {
      seed.on_member(member(number), now);
    }
    const member_list list = seed.member_list_for("a", now);
    source_choice first(member(0).id, "a");
    BOOST_TEST(!first.domain_is_large(now));
    first.on_member_list(list, now);
    BOOST_TEST(first.domain_is_large(now));
    std::map<std::string, std::string> followed;
    std::map<std::string, std::size_t> followers;
    std::size_t reading = 0;
    for (int number = 0; number < size; ++number) {
      source_choice daemon(member(number).id, "a");
      daemon.on_member_list(list, now);
      const auto peer = daemon.peer(now);
      reading += peer ? 0 : 1;
      if (peer) {
        followed[member(number).id] = peer->id;
        ++followers[peer->id];
      }
    }
    BOOST_TEST(reading == 1U);
    for (const auto& [id, count] : followers) {
      BOOST_TEST(count <= 2 * source_choice::relay_count(static_cast<std::size_t>(size)), id << " of " << size);
    }
    for (const auto& [id, source] : followed) {
      const auto next = followed.find(source);
      // Every daemon is at most two steps from the reader.
      BOOST_TEST((next == followed.end() || !followed.contains(next->second)));
    }
  }
}

// Guards against all followers of a failed relay reading the store or moving to the reader at the same time.
BOOST_AUTO_TEST_CASE(the_followers_of_a_failed_relay_spread_over_the_others)
{
  source_choice seed("entry-100000", "z");
  for (int number = 0; number < 200; ++number) {
    seed.on_member(member(number), now);
  }
  const member_list list = seed.member_list_for("a", now);
  std::set<std::string> next;
  for (int number = 0; number < 200; ++number) {
    source_choice daemon(member(number).id, "a");
    daemon.on_member_list(list, now);
    const auto relay = daemon.peer(now);
    if (!relay || relay->id != list.members[1].id) {
      continue;
    }
    daemon.on_failure(relay->id, now);
    BOOST_TEST_REQUIRE(daemon.peer(now).has_value());
    BOOST_TEST(daemon.peer(now)->id != relay->id);
    next.insert(daemon.peer(now)->id);
  }
  BOOST_TEST(next.size() >= 4U);
}

// Load pattern: two daemons of a domain have fast links, the others slow ones. A large catalogue that a slow one sends
// to all others delays the packets that it forwards.
BOOST_AUTO_TEST_CASE(records_are_read_and_sent_by_daemons_with_fast_links)
{
  const auto link_of = [](int number) { return number == 11 || number == 23 ? 200000U : 10000U; };
  std::map<std::string, std::set<std::string>> readers_and_followers;
  for (int number = 0; number < 28; ++number) {
    source_choice daemon(member(number).id, "a", link_of(number));
    for (int other = 0; other < 28; ++other) {
      fleet_member reported = member(other);
      reported.link_kbps = link_of(other);
      daemon.on_member(reported, now);
    }
    const auto first = daemon.peer(now);
    readers_and_followers[first ? first->id : "store"].insert(member(number).id);
    if (first) {
      daemon.on_failure(first->id, now);
      const auto second = daemon.peer(now);
      BOOST_TEST((!second || second->id == member(11).id || second->id == member(23).id));
    }
  }
  BOOST_TEST(readers_and_followers.size() == 2U);
  const std::string reader = *readers_and_followers["store"].begin();
  BOOST_TEST((reader == member(11).id || reader == member(23).id));
}

BOOST_AUTO_TEST_CASE(members_that_are_not_reported_are_removed)
{
  now += source_choice::member_lifetime + milliseconds(1);
  BOOST_TEST(readers().size() == daemons.size());
}

BOOST_AUTO_TEST_SUITE_END()
