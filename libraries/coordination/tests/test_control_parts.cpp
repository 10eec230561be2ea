#include "entry_sets.h"
#include "membership.h"
#include "record_synchronizer.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

const instant start{ seconds(1000) };

heartbeat
make_heartbeat(const vm_id& sender, std::uint64_t boot, std::uint64_t sequence, const std::vector<vm_id>& members = {})
{
  heartbeat message;
  message.sender = sender;
  message.domain = sender.substr(0, 1);
  message.boot_id = boot;
  message.sequence = sequence;
  message.adopted_entry_set = members_digest(members);
  return message;
}

settle_conditions
conditions_at(instant now)
{
  return { now, start, milliseconds(4400), milliseconds(7700), 9 };
}

}

BOOST_AUTO_TEST_SUITE(control_parts)

// Guards against a late heartbeat that overwrites a newer one, of the same boot or of the previous one.
BOOST_AUTO_TEST_CASE(late_heartbeats_are_ignored)
{
  membership peers{ timing{} };
  BOOST_TEST(peers.on_heartbeat(make_heartbeat("a2", 1, 5), seconds(1), start));
  BOOST_TEST(!peers.on_heartbeat(make_heartbeat("a2", 1, 5), seconds(1), start));
  BOOST_TEST(!peers.on_heartbeat(make_heartbeat("a2", 1, 4), seconds(1), start));
  BOOST_TEST(peers.on_heartbeat(make_heartbeat("a2", 2, 1), seconds(1), start));
  BOOST_TEST(!peers.on_heartbeat(make_heartbeat("a2", 1, 6), seconds(1), start));
}

// Guards against treating a report of an earlier list with the same members as an acknowledgement: the peer may have
// settled on the set in between, and then the shares of the two daemons overlap.
BOOST_AUTO_TEST_CASE(a_set_that_returns_needs_a_new_acknowledgement)
{
  const std::vector<vm_id> all{ "a1", "a2", "a3" };
  membership peers{ timing{} };
  entry_sets sets("a1", "a", seconds(600));
  const auto receive = [&](std::uint64_t sequence, std::uint64_t version, const std::vector<vm_id>& members) {
    for (const char* peer : { "a2", "a3" }) {
      heartbeat message = make_heartbeat(peer, 1, sequence, members);
      message.vm_list_version = version;
      peers.on_heartbeat(message, seconds(1), start);
    }
  };
  sets.adopt_members(all, 1, start);
  receive(1, 1, all);
  sets.settle(peers, conditions_at(start));
  BOOST_TEST(sets.spending_sets().size() == 1U);
  sets.adopt_members({ "a1", "a2" }, 2, start);
  sets.adopt_members(all, 3, start);
  sets.settle(peers, conditions_at(start));
  BOOST_TEST(sets.spending_sets().size() == 3U);
  receive(2, 3, all);
  sets.settle(peers, conditions_at(start));
  BOOST_TEST(sets.spending_sets().size() == 1U);
}

// Guards against peers that use a share while runs from the larger share of an older set still occupy it.
BOOST_AUTO_TEST_CASE(a_set_is_reported_once_older_runs_have_ended)
{
  entry_sets sets("a1", "a", seconds(600));
  sets.adopt_members({ "a1" }, 1, start);
  BOOST_TEST(sets.reported_members_digest(seconds(2), start) == 0U);
  sets.adopt_members({ "a1", "a2" }, 2, start + seconds(5));
  BOOST_TEST(sets.reported_members_digest(seconds(2), start + milliseconds(6900)) == members_digest({ "a1" }));
  BOOST_TEST(sets.reported_members_digest(seconds(2), start + seconds(7)) == members_digest({ "a1", "a2" }));
  // A set that returns is a new one: the set in between allowed a larger share.
  sets.adopt_members({ "a1" }, 3, start + milliseconds(7100));
  sets.settle(membership{ timing{} }, conditions_at(start + seconds(20)));
  sets.adopt_members({ "a1", "a2" }, 4, start + seconds(20));
  BOOST_TEST(sets.reported_members_digest(seconds(2), start + seconds(21)) == members_digest({ "a1" }));
}

// Guards against counting a pause of this daemon as silence of its peers, which still act on the old set.
BOOST_AUTO_TEST_CASE(silence_is_counted_from_the_resume)
{
  membership peers{ timing{} };
  entry_sets sets("a1", "a", seconds(600));
  sets.adopt_members({ "a1", "a2" }, 1, start);
  settle_conditions conditions = conditions_at(start + seconds(10));
  conditions.resumed = start + seconds(9);
  sets.settle(peers, conditions);
  BOOST_TEST(sets.spending_sets().empty());
  conditions.now = start + seconds(14);
  sets.settle(peers, conditions);
  BOOST_TEST(sets.spending_sets().size() == 1U);
}

// Guards against an owner that ignores that another daemon may have owned its keys under a skipped set.
BOOST_AUTO_TEST_CASE(a_skipped_set_interrupts_the_ownership)
{
  const membership peers{ timing{} };
  entry_sets sets("a1", "a", seconds(600));
  sets.adopt_members({ "a1" }, 1, start);
  sets.adopt_domains({ "a" }, 1, start);
  sets.settle(peers, conditions_at(start + seconds(8)));
  sets.adopt_members({ "a2" }, 2, start + seconds(9));
  sets.adopt_members({ "a1" }, 3, start + seconds(10));
  sets.settle(peers, conditions_at(start + seconds(20)));
  const auto epochs = sets.ownership(start + seconds(20));
  BOOST_REQUIRE(epochs.size() == 3U);
  BOOST_TEST((epochs[1].set.members == std::vector<vm_id>{ "a2" }));
  BOOST_TEST((epochs[2].since == start + seconds(20)));
}

// Guards against settling on domains that a daemon with a newer catalogue never adopted: it skipped the catalogue
// between, and keys would have owners in two domains.
BOOST_AUTO_TEST_CASE(a_domain_that_is_ahead_does_not_agree)
{
  membership peers{ timing{} };
  entry_sets sets("a1", "a", seconds(600));
  sets.adopt_members({ "a1" }, 1, start);
  sets.adopt_domains({ "a", "b" }, 1, start);
  sets.settle(peers, conditions_at(start + seconds(8)));
  const instant later = start + seconds(9);
  sets.adopt_domains({ "a" }, 2, later);
  heartbeat ahead = make_heartbeat("b1", 1, 1);
  ahead.catalogue_version = 3;
  ahead.domain_catalogue_version = 3;
  peers.on_heartbeat(ahead, seconds(1), later);
  sets.on_heartbeat(ahead, 2);
  sets.settle(peers, conditions_at(later));
  BOOST_TEST(sets.spending_sets().size() == 2U);
  sets.adopt_domains({ "a", "b" }, 3, later);
  sets.on_heartbeat(ahead, 3);
  sets.settle(peers, conditions_at(later));
  BOOST_TEST(sets.spending_sets().size() == 1U);
}

// Guards against a third call to the platform within a second, for any combination of records.
BOOST_AUTO_TEST_CASE(the_platform_is_called_twice_a_second_at_most)
{
  platform_budget budget;
  BOOST_TEST(budget.try_acquire(start));
  BOOST_TEST(budget.try_acquire(start + milliseconds(500)));
  BOOST_TEST(!budget.try_acquire(start + milliseconds(990)));
  BOOST_TEST(budget.try_acquire(start + milliseconds(1000)));
  BOOST_TEST(!budget.try_acquire(start + milliseconds(1490)));
}

// Guards against treating a platform response that was buffered during a pause as current.
BOOST_AUTO_TEST_CASE(an_answer_from_before_a_pause_is_no_evidence)
{
  std::mt19937_64 random(1);
  platform_budget budget;
  record_synchronizer synchronizer(published_record::vm_list, seconds(1), timing{});
  BOOST_TEST(synchronizer.next_read({}, budget, random, start).has_value());
  BOOST_TEST(!synchronizer.on_platform_response(start + milliseconds(700), start + milliseconds(800)));
  BOOST_TEST(synchronizer.next_read({}, budget, random, start + seconds(2)).has_value());
  BOOST_TEST(synchronizer.on_platform_response(start, start + milliseconds(2500)));
  BOOST_TEST(synchronizer.next_read({}, budget, random, start + seconds(4)).has_value());
  BOOST_TEST(!synchronizer.on_platform_response(start, start + seconds(9)));
}

BOOST_AUTO_TEST_SUITE_END()
