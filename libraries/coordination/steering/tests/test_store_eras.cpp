#include "daemon_model.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;
using coltsfootlock::testing::catalogue_of;
using coltsfootlock::testing::daemon_model;
using coltsfootlock::testing::steering_fixture;
using coltsfootlock::testing::written;

namespace {

const std::string&
id_of(const record_change& change)
{
  return std::get<target_published>(change.content).target.vm.id;
}

/// Daemons that have read the records of era 1: two targets of the own domain, one of another, and a catalogue.
struct era_fixture
{
  instant now = instant(seconds(10));
  daemon_model reader;

  era_fixture()
  {
    list(reader, { 1, 100 }, records_of(1, 100));
    watch(reader, { 1, 100 }, {});
  }

  static std::vector<record_change> records_of(std::uint64_t era, std::uint64_t revision)
  {
    return { { { era, revision - 4 }, catalogue_published{ catalogue_of(9) } },
             { { era, revision - 3 }, target_published{ written(1, 10) } },
             { { era, revision - 2 }, target_published{ written(2, 10) } },
             { { era, revision - 1 }, target_published{ written(3, 10, false, "b") } } };
  }

  void list(daemon_model& daemon, const store_position& position, const std::vector<record_change>& records)
  {
    BOOST_REQUIRE(std::holds_alternative<list_call>(*due_call(daemon)));
    BOOST_REQUIRE(daemon.receive(record_page{ records, position, "", false, {} }, now));
  }

  void watch(daemon_model& daemon, const store_position& position, const std::vector<record_change>& changes)
  {
    BOOST_REQUIRE(std::holds_alternative<watch_call>(*due_call(daemon)));
    BOOST_REQUIRE(daemon.receive(record_events{ changes, position, {} }, now));
  }

  /// The next call to the store, after the delay before it.
  std::optional<record_call> due_call(daemon_model& daemon)
  {
    now = std::max(now, daemon.follower.next_wakeup());
    return daemon.call(record_sender::store, now);
  }

  /// The store comes back: the watch shows the new era, and the list follows.
  void come_back(daemon_model& daemon, const store_position& position, const std::vector<record_change>& records)
  {
    watch(daemon, position, {});
    list(daemon, position, records);
  }

  /// Watches without changes for some time, as long as the records are confirmed.
  void pass(daemon_model& daemon, milliseconds time)
  {
    const instant end = now + time;
    while (now < end) {
      now = std::min(now + milliseconds(500), end);
      watch(daemon, daemon.follower.position(), {});
    }
  }

  std::set<std::uint64_t> chosen(daemon_model& daemon) const { return daemon.chosen(now); }
};

using tags = std::set<std::uint64_t>;

}

BOOST_FIXTURE_TEST_SUITE(store_eras, era_fixture)

BOOST_AUTO_TEST_CASE(positions_are_ordered_by_era_then_revision)
{
  BOOST_TEST((store_position{ 2, 1 } > store_position{ 1, 900 }));
  BOOST_TEST((store_position{ 2, 2 } > store_position{ 2, 1 }));
  BOOST_TEST((store_position{ 7 } == store_position{ 0, 7 }));
  BOOST_TEST(to_string(store_position{ 2, 50 }) == "2.50");
}

// A revision that was reused answers the watch as if nothing had happened: the changes after it belong to another
// history, and those before it were never received.
BOOST_AUTO_TEST_CASE(a_watch_that_is_answered_in_a_new_era_leads_to_a_list)
{
  due_call(reader);
  const instant heard = now;
  const record_events events{ { { { 2, 101 }, target_removed{ "t-1" } } }, { 2, 101 }, {} };
  const auto progress = reader.follower.on_response(events, now);
  BOOST_TEST(progress.changes.empty());
  BOOST_TEST(progress.relists_for_era.value() == 2U);
  BOOST_TEST((reader.follower.position() == store_position{ 1, 100 }));
  BOOST_TEST((std::get<list_call>(*due_call(reader)) == list_call{ "", false, 2 }));
  BOOST_TEST((now - heard <= reader.settings.max_era_list_delay));
}

// All readers hear of the era at the same time; if they listed at once, the store would get their lists together.
BOOST_AUTO_TEST_CASE(readers_spread_their_lists_and_followers_list_at_once_from_their_source)
{
  std::set<duration> delays;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    daemon_model daemon(seed * 100000007);
    list(daemon, { 1, 100 }, records_of(1, 100));
    watch(daemon, { 1, 100 }, {});
    watch(daemon, { 2, 100 }, {});
    delays.insert(daemon.follower.next_wakeup() - now);
    BOOST_TEST((daemon.follower.next_wakeup() - now <= milliseconds(300)));
    BOOST_TEST(!daemon.follower.relists_from_store());
  }
  BOOST_TEST(delays.size() > 10U);
  BOOST_TEST((*delays.rbegin() - *delays.begin() > milliseconds(150)));
  watch(reader, { 2, 100 }, {});
  const auto call = reader.call(record_sender::own_domain, now);
  BOOST_TEST_REQUIRE(call.has_value());
  BOOST_TEST((std::get<list_call>(*call) == list_call{ "", false, 2 }));
}

BOOST_AUTO_TEST_CASE(an_unavailable_history_of_a_new_era_leads_to_a_spread_list)
{
  due_call(reader);
  const auto progress = reader.follower.on_response(history_unavailable{ 2 }, now);
  BOOST_TEST(progress.relists_for_era.value() == 2U);
  BOOST_TEST(reader.follower.era() == 2U);
  BOOST_TEST((std::get<list_call>(*due_call(reader)) == list_call{ "", false, 2 }));
}

// A higher era is accepted although its revisions are lower, and a lower one never, however new its revision.
BOOST_AUTO_TEST_CASE(a_list_of_a_higher_era_replaces_newer_revisions)
{
  const instant heard = now;
  come_back(reader, { 2, 50 }, records_of(2, 50));
  BOOST_TEST((reader.follower.position() == store_position{ 2, 50 }));
  BOOST_TEST((reader.cache.position() == store_position{ 2, 50 }));
  BOOST_TEST_REQUIRE((now > heard)); // The time for what is lacking begins with the list.
  BOOST_TEST((reader.follower.outage_grace_end() == now + reader.settings.outage_grace));
  watch(reader, { 2, 51 }, { { { 2, 51 }, target_removed{ "t-1" } } });
  due_call(reader);
  BOOST_TEST(!reader.receive(record_events{ {}, { 1, 900 }, {} }, now));
  due_call(reader);
  BOOST_TEST(!reader.receive(history_unavailable{ 1 }, now));
  BOOST_TEST((reader.follower.position() == store_position{ 2, 51 }));
}

BOOST_AUTO_TEST_CASE(pages_of_different_eras_are_not_combined)
{
  watch(reader, { 2, 50 }, {});
  due_call(reader);
  reader.receive(record_page{ {}, { 2, 50 }, "k", true, {} }, now);
  due_call(reader);
  BOOST_TEST(reader.follower.answers_earlier_call(record_page{ {}, { 2, 50 }, "a", true, {} }));
  BOOST_TEST(!reader.follower.answers_earlier_call(record_page{ {}, { 3, 40 }, "a", true, {} }));
  const auto progress = reader.follower.on_response(record_page{ records_of(3, 40), { 3, 40 }, "z", false, {} }, now);
  BOOST_TEST(progress.changes.empty());
  BOOST_TEST(!progress.snapshot_complete.has_value());
  BOOST_TEST((std::get<list_call>(*due_call(reader)) == list_call{ "", false, 3 }));
}

// Old pages come from copies that may not have heard of the era yet: the list would never end.
BOOST_AUTO_TEST_CASE(a_first_list_avoids_old_pages_of_a_lower_era)
{
  daemon_model started;
  BOOST_TEST((std::get<list_call>(*due_call(started)) == list_call{ "", true }));
  started.receive(record_page{ {}, { 2, 50 }, "k", true, {} }, now);
  BOOST_TEST((std::get<list_call>(*due_call(started)) == list_call{ "k", true, 2 }));
  BOOST_TEST(started.follower.is_of_lower_era(record_page{ {}, { 1, 90 }, "z", false, {} }));
  started.follower.avoid_old_pages();
  started.follower.on_response(call_failed{ { error_kind::stale, "lower era" } }, now);
  BOOST_TEST((std::get<list_call>(*due_call(started)) == list_call{ "k", false, 2 }));
}

// A late copy of a response is recognised within one era only: in a new era lower revisions are what is expected.
BOOST_AUTO_TEST_CASE(a_response_of_a_new_era_is_no_copy_of_an_earlier_one)
{
  due_call(reader);
  BOOST_TEST(reader.follower.answers_earlier_call(record_events{ {}, { 1, 99 }, {} }));
  BOOST_TEST(!reader.follower.answers_earlier_call(record_events{ {}, { 2, 10 }, {} }));
}

// A source that still reports the old era would bring back what the store no longer has.
BOOST_AUTO_TEST_CASE(a_source_that_still_reports_the_old_era_is_refused)
{
  daemon_model source;
  list(source, { 1, 120 }, records_of(1, 120));
  watch(source, { 1, 120 }, {});
  watch(reader, { 2, 50 }, {});
  // Between hearing of the era and listing it, a list of the old era is of no use, although its revision is newer.
  reader.call(record_sender::own_domain, now);
  BOOST_TEST(!reader.receive(source.list_for_followers(now), now));
  list(reader, { 2, 50 }, records_of(2, 50));
  reader.call(record_sender::own_domain, now);
  BOOST_TEST(!reader.receive(record_events{ {}, { 1, 130 }, {} }, now));
  BOOST_TEST((reader.follower.position() == store_position{ 2, 50 }));
  // The source has to list for a follower that is of an earlier era, not to send it changes.
  BOOST_TEST(!reader.cache.since({ 1, 120 }).has_value());
  BOOST_TEST(!reader.cache.since({ 1, 10 }).has_value());
  BOOST_TEST(reader.cache.since({ 2, 50 })->empty());
}

// What a target says of itself survives the rollback: the copy has it ready, and it is leaving.
BOOST_AUTO_TEST_CASE(a_leaving_target_gets_no_new_flows_because_of_an_older_entry)
{
  watch(reader, { 1, 101 }, { { { 1, 101 }, target_published{ written(1, 12, true) } } });
  BOOST_TEST((chosen(reader) == tags{ 2 }));
  come_back(reader, { 2, 50 }, records_of(2, 50));
  BOOST_TEST((chosen(reader) == tags{ 2 }));
  // A daemon that starts now learns it from its source.
  daemon_model started;
  started.call(record_sender::own_domain, now);
  started.receive(reader.list_for_followers(now), now);
  BOOST_TEST((chosen(started) == tags{ 2 }));
  // What the target writes next counts.
  watch(reader, { 2, 51 }, { { { 2, 51 }, target_published{ written(1, 13) } } });
  BOOST_TEST(chosen(reader).contains(1));
}

BOOST_AUTO_TEST_CASE(an_older_incarnation_does_not_replace_a_newer_one)
{
  target_record restarted = written(1, 1);
  restarted.vm.incarnation = 7;
  restarted.vm.packet_address = { 0x0a0000ff, 8000 };
  watch(reader, { 1, 101 }, { { { 1, 101 }, target_published{ restarted } } });
  come_back(reader, { 2, 50 }, records_of(2, 50));
  const std::vector<record_change> all = reader.cache.all().value();
  const auto kept = std::find_if(all.begin(), all.end(), [](const record_change& change) {
    return std::holds_alternative<target_published>(change.content) && id_of(change) == "t-1";
  });
  BOOST_TEST_REQUIRE((kept != all.end()));
  BOOST_TEST((kept->content == decltype(kept->content)(target_published{ restarted })));
  BOOST_TEST((kept->position == store_position{ 2, 47 }));
  for (const steering_event& event : reader.engine.take_events()) {
    BOOST_TEST(!event.message.starts_with("restarted id=t-1 group=feed domain=a address=10.0.0.1"), event.message);
  }
}

// A reader that starts in between knows a target by an entry from before its restart, which is seconds old. When the
// target writes again, flows that it has had since its restart would pass for those of its previous incarnation.
BOOST_AUTO_TEST_CASE(an_entry_of_the_copy_does_not_show_when_a_target_restarted)
{
  daemon_model started;
  list(started, { 2, 50 }, records_of(2, 50));
  watch(started, { 2, 50 }, {});
  carried_packet packet;
  packet.flow = steering_fixture::flow_of(1);
  packet.token = token_of_tag(1);
  packet.acknowledged = 1;
  packet.sequence = 101;
  started.engine.on_packet(packet, now);
  pass(started, milliseconds(1500));
  target_record restarted = written(1, 1);
  restarted.vm.incarnation = 7;
  const auto resets_after_restart = [&](std::uint64_t revision) {
    due_call(started);
    started.follower.on_response(record_events{ {}, { 2, revision }, {} }, now);
    started.engine.on_record({ { 2, revision }, target_published{ restarted } }, {}, now);
    return started.engine.tick(now).size();
  };
  BOOST_TEST(resets_after_restart(51) == 0U);
  // Later, a new incarnation is one that has started since.
  pass(started, milliseconds(3000));
  ++restarted.vm.incarnation;
  BOOST_TEST(resets_after_restart(52) == 1U);
}

// A target that ended before the store failed is in the copy. New flows to it would be lost until it is checked.
BOOST_AUTO_TEST_CASE(a_removed_target_returns_only_with_a_newer_entry)
{
  watch(reader, { 1, 101 }, { { { 1, 101 }, target_removed{ "t-1" } } });
  come_back(reader, { 2, 50 }, records_of(2, 50));
  BOOST_TEST((chosen(reader) == tags{ 2 }));
  watch(reader, { 2, 51 }, { { { 2, 51 }, target_published{ written(1, 11) } } });
  BOOST_TEST(chosen(reader).contains(1));
}

// Targets that the copy lacks may be alive: they get no new flows while others can take them, and their flows go on
// until records that were confirmed after the grace period still lack them.
BOOST_AUTO_TEST_CASE(flows_of_targets_that_the_copy_lacks_are_not_reset_within_the_grace_period)
{
  reader.engine.on_pause(now); // Observation begins.
  reader.engine.on_backlog_end();
  for (std::uint16_t port = 1; port <= 20; ++port) {
    carried_packet packet;
    packet.flow = steering_fixture::flow_of(port);
    packet.opens = true;
    const auto opened = reader.engine.on_packet(packet, now);
    packet.opens = false;
    packet.token = std::get<forward_packet>(opened).token;
    packet.acknowledged = 1;
    packet.sequence = 101;
    reader.engine.on_packet(packet, now);
  }
  pass(reader, seconds(3)); // Without packets meanwhile, targets are quiet.
  auto records = records_of(2, 50);
  records.erase(records.begin() + 1);
  come_back(reader, { 2, 50 }, records);
  const instant listed = now;
  BOOST_TEST((chosen(reader) == tags{ 2 }));
  bool reset = false;
  while (now - listed < milliseconds(2500)) {
    now += milliseconds(50);
    reset = reset || !reader.engine.tick(now).empty();
  }
  BOOST_TEST(!reset);
  BOOST_TEST(reader.resets == 0U); // Nor with the responses.
  // Without a confirmation as of a time after the grace period nothing changes.
  now += milliseconds(400);
  BOOST_TEST(reader.engine.tick(now).empty());
  for (int step = 0; step < 30 && !reset; ++step) {
    now += milliseconds(50);
    reader.engine.on_confirmed(now, reader.follower.outage_grace_end());
    reset = !reader.engine.tick(now).empty();
  }
  BOOST_TEST(reset);
}

BOOST_AUTO_TEST_CASE(targets_that_the_copy_lacks_return_with_their_next_entry)
{
  auto records = records_of(2, 50);
  records.erase(records.begin() + 1);
  come_back(reader, { 2, 50 }, records);
  pass(reader, milliseconds(1500));
  watch(reader, { 2, 51 }, { { { 2, 51 }, target_published{ written(1, 11) } } });
  pass(reader, milliseconds(2000));
  BOOST_TEST(chosen(reader).contains(1));
}

BOOST_AUTO_TEST_CASE(a_withdrawal_that_is_lost_and_written_again_never_ends)
{
  watch(reader, { 1, 101 }, { { { 1, 101 }, domain_switched{ "a", false } } });
  BOOST_TEST((chosen(reader) == tags{ 3 }));
  come_back(reader, { 2, 50 }, records_of(2, 50));
  BOOST_TEST((chosen(reader) == tags{ 3 }));
  pass(reader, milliseconds(1500));
  BOOST_TEST((chosen(reader) == tags{ 3 }));
  watch(reader, { 2, 51 }, { { { 2, 51 }, domain_switched{ "a", false } } });
  pass(reader, seconds(4));
  BOOST_TEST((chosen(reader) == tags{ 3 }));
  watch(reader, { 2, 52 }, { { { 2, 52 }, domain_switched{ "a", true } } });
  BOOST_TEST((chosen(reader) == tags{ 1, 2 }));
}

BOOST_AUTO_TEST_CASE(a_withdrawal_that_is_lost_for_good_ends_after_the_grace_period)
{
  watch(reader, { 1, 101 }, { { { 1, 101 }, domain_switched{ "a", false } } });
  come_back(reader, { 2, 50 }, records_of(2, 50));
  pass(reader, milliseconds(1500));
  BOOST_TEST((chosen(reader) == tags{ 3 }));
  // A list that follows in the same era does not lack it for the first time.
  due_call(reader);
  reader.receive(history_unavailable{ 2 }, now);
  list(reader, { 2, 50 }, records_of(2, 50));
  BOOST_TEST((chosen(reader) == tags{ 3 }));
  pass(reader, milliseconds(3500));
  BOOST_TEST((chosen(reader) == tags{ 1, 2 }));
  BOOST_TEST(reader.cache.all()->size() == records_of(2, 50).size());
}

// A daemon that starts in between would open flows in a domain that is out of service, and drop packets of targets that
// the copy lacks, if it had only what the store has.
BOOST_AUTO_TEST_CASE(a_daemon_that_starts_in_between_learns_what_is_retained)
{
  watch(reader,
        { 1, 102 },
        { { { 1, 101 }, domain_switched{ "b", false } }, { { 1, 102 }, target_published{ written(4, 1) } } });
  auto records = records_of(2, 50);
  records.erase(records.begin() + 1);
  come_back(reader, { 2, 50 }, records);
  BOOST_TEST((chosen(reader) == tags{ 2 }));
  now += milliseconds(500);
  daemon_model started;
  started.call(record_sender::own_domain, now);
  started.receive(reader.list_for_followers(now), now);
  BOOST_TEST((started.follower.position() == store_position{ 2, 50 }));
  BOOST_TEST((chosen(started) == tags{ 2 }));
  // Packets of the targets' flows are forwarded.
  for (const std::uint64_t tag : { 1, 4 }) {
    carried_packet packet;
    packet.flow = steering_fixture::flow_of(static_cast<std::uint16_t>(tag));
    packet.token = token_of_tag(tag);
    packet.acknowledged = 1;
    packet.sequence = 101;
    BOOST_TEST(steering_fixture::tag_of(started.engine.on_packet(packet, now)) == tag);
  }
  // It passes them on itself, and lets go of them when their time is over.
  daemon_model third;
  third.call(record_sender::own_domain, now);
  third.receive(started.list_for_followers(now), now);
  BOOST_TEST((chosen(third) == tags{ 2 }));
  BOOST_TEST(started.cache.all()->size() == reader.cache.all()->size());
  watch(started, { 2, 51 }, { { { 2, 51 }, target_published{ written(4, 2) } } });
  BOOST_TEST(chosen(started).contains(4));
  pass(started, milliseconds(3500));
  BOOST_TEST(started.cache.all()->size() == records.size() + 1);
  due_call(started);
  started.receive(
    record_events{ { { { 2, 52 }, target_removed{ "t-2" } }, { { 2, 53 }, target_removed{ "t-4" } } }, { 2, 53 }, {} },
    now);
  BOOST_TEST((chosen(started) == tags{ 3 })); // The domain is in service again.
}

// Otherwise a daemon that lists often would retain what the store lacks for ever.
BOOST_AUTO_TEST_CASE(only_a_new_era_extends_the_time_of_retained_records)
{
  record_cache cache;
  const auto list_without_targets = [&cache](const store_position& position, instant grace_end) {
    cache.begin_snapshot();
    cache.end_snapshot(position, grace_end);
  };
  cache.begin_snapshot();
  cache.apply({ { 1, 90 }, target_published{ written(1, 10) } });
  cache.end_snapshot({ 1, 100 });
  list_without_targets({ 2, 50 }, now + milliseconds(2500));
  list_without_targets({ 3, 40 }, now + milliseconds(3500));
  list_without_targets({ 3, 45 }, now + milliseconds(9500));
  cache.expire(now + milliseconds(3499), {});
  BOOST_TEST(cache.all()->size() == 1U);
  cache.expire(now + milliseconds(3500), {});
  BOOST_TEST(cache.all()->empty());
  BOOST_TEST(cache.expired_records() == 1U);
}

// The manifest is the operators' word: a daemon does not go back behind it, nor does one that starts in between.
BOOST_AUTO_TEST_CASE(a_lost_catalogue_stays_in_force)
{
  auto records = records_of(2, 50);
  records.erase(records.begin());
  come_back(reader, { 2, 50 }, records);
  pass(reader, seconds(4));
  BOOST_TEST(reader.engine.current_catalogue()->version == 9U);
  daemon_model started;
  started.call(record_sender::own_domain, now);
  started.receive(reader.list_for_followers(now), now);
  BOOST_TEST_REQUIRE(started.engine.current_catalogue() != nullptr);
  BOOST_TEST(started.engine.current_catalogue()->version == 9U);
}

BOOST_AUTO_TEST_CASE(the_catalogue_does_not_go_back_to_a_lower_version)
{
  auto records = records_of(2, 50);
  records.front().content = catalogue_published{ catalogue_of(7) };
  come_back(reader, { 2, 50 }, records);
  BOOST_TEST(reader.engine.current_catalogue()->version == 9U);
  const auto of_cache = [this] {
    const std::vector<record_change> all = reader.cache.all().value();
    for (const record_change& change : all) {
      if (const auto* published = std::get_if<catalogue_published>(&change.content)) {
        return std::pair(published->value->version, change.position);
      }
    }
    return std::pair(std::uint64_t(0), store_position{});
  };
  BOOST_TEST((of_cache() == std::pair(std::uint64_t(9), store_position{ 2, 46 })));
  watch(reader, { 2, 51 }, { { { 2, 51 }, catalogue_published{ catalogue_of(8) } } });
  BOOST_TEST((of_cache() == std::pair(std::uint64_t(9), store_position{ 2, 51 })));
  watch(reader, { 2, 52 }, { { { 2, 52 }, catalogue_published{ catalogue_of(10) } } });
  BOOST_TEST((of_cache() == std::pair(std::uint64_t(10), store_position{ 2, 52 })));
  BOOST_TEST(reader.engine.current_catalogue()->version == 10U);
}

// The store fails again before what the first copy lacked was written again.
BOOST_AUTO_TEST_CASE(the_store_comes_back_twice_in_a_row)
{
  watch(reader,
        { 1, 102 },
        { { { 1, 101 }, domain_switched{ "b", false } }, { { 1, 102 }, target_published{ written(1, 12, true) } } });
  auto records = records_of(2, 50);
  records.erase(records.begin() + 1);
  come_back(reader, { 2, 50 }, records);
  pass(reader, milliseconds(1500));
  come_back(reader, { 3, 40 }, records_of(3, 40)); // The leaving target is ready in the second copy.
  BOOST_TEST((reader.follower.position() == store_position{ 3, 40 }));
  BOOST_TEST((chosen(reader) == tags{ 2 }));
  // The time of what is lacking begins anew.
  pass(reader, milliseconds(1500));
  watch(reader, { 3, 41 }, { { { 3, 41 }, target_removed{ "t-2" } } });
  BOOST_TEST(!chosen(reader).contains(3));
  watch(reader, { 3, 42 }, { { { 3, 42 }, domain_switched{ "b", false } } });
  pass(reader, seconds(3));
  BOOST_TEST(!chosen(reader).contains(3));
}

BOOST_AUTO_TEST_CASE(the_store_comes_back_again_during_the_list)
{
  watch(reader, { 2, 50 }, {});
  due_call(reader);
  reader.receive(record_page{ { { { 2, 30 }, target_removed{ "t-2" } } }, { 2, 50 }, "k", true, {} }, now);
  due_call(reader);
  reader.receive(record_page{ {}, { 3, 40 }, "z", true, {} }, now);
  list(reader, { 3, 40 }, records_of(3, 40));
  BOOST_TEST((reader.follower.position() == store_position{ 3, 40 }));
  BOOST_TEST(reader.cache.complete());
}

// The store comes back while a domain is cut off: its daemons hear of the era later, from another domain or the store,
// when what the copy lacks may have been written again, or not yet by the domain's own targets.
BOOST_AUTO_TEST_CASE(the_store_comes_back_during_a_partition)
{
  daemon_model elsewhere;
  list(elsewhere, { 1, 100 }, records_of(1, 100));
  watch(elsewhere, { 1, 100 }, {});
  auto records = records_of(2, 50);
  records.erase(records.begin() + 1, records.begin() + 3); // The targets of the domain that is cut off.
  come_back(elsewhere, { 2, 50 }, records);
  for (int failures = 0; failures < 5; ++failures) {
    due_call(reader);
    reader.receive(call_failed{ { error_kind::unavailable, "no answer" } }, now);
  }
  pass(elsewhere, milliseconds(5000));
  BOOST_TEST((chosen(reader) == tags{ 1, 2 }));
  // The partition ends. The daemon follows another domain, where the grace period is over.
  reader.call(record_sender::other_domain, now);
  BOOST_TEST(!elsewhere.cache.since(reader.follower.position()).has_value());
  reader.receive(history_unavailable{}, now);
  reader.call(record_sender::other_domain, now);
  reader.receive(elsewhere.list_for_followers(now), now);
  BOOST_TEST((reader.follower.position() == store_position{ 2, 50 }));
  BOOST_TEST((reader.follower.outage_grace_end() == now + reader.settings.outage_grace));
  BOOST_TEST((chosen(reader) == tags{ 3 }));
  pass(reader, milliseconds(1500));
  watch(reader,
        { 2, 52 },
        { { { 2, 51 }, target_published{ written(1, 15) } }, { { 2, 52 }, target_published{ written(2, 15) } } });
  BOOST_TEST((chosen(reader) == tags{ 1, 2 }));
}

BOOST_AUTO_TEST_SUITE_END()
