#include "carried/observation_path.h"
#include "carried/peer_pages.h"
#include "carried/record_path.h"

#include "coltsfootlock/protocol/relay_codec.h"
#include "coltsfootlock/transport/boot_clock.h"
#include "coltsfootlock/transport/page_server.h"
#include "platform/store_api.h"
#include "platform/tests/stand_ins/store_stand_in.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

constexpr endpoint any_port{ 0x7f000001, 0 };

page_server
listen()
{
  error why;
  auto server = page_server::listen(any_port, why);
  BOOST_REQUIRE_MESSAGE(server.has_value(), why.message);
  return std::move(*server);
}

/// The part of a daemon that reads records and passes them on.
struct record_daemon
{
  source_choice sources;
  steering_engine engine{ steering_settings{} };
  observation_path observations{ engine };
  load_path loads;
  record_path records;
  page_server server = listen();

  record_daemon(const std::string& id, const endpoint& store)
    : sources(id, "a")
    , loads(id, "a", engine, sources)
    , records("a", store, {}, 1, sources, observations, loads, engine)
  {
    peer_pages::add_pages(server, records, observations.board(), loads.board(), sources);
  }
};

struct record_fixture
{
  platform::stand_ins::store_stand_in store;
  page_server store_server = listen();
  std::deque<record_daemon> daemons;
  std::vector<page_server*> servers{ &store_server };

  record_fixture()
  {
    store.add_pages(store_server);
    for (std::uint64_t tag = 1; tag <= 8; ++tag) { // Two pages.
      store.publish_target(target_of(tag));
    }
    catalogue value;
    value.version = 3;
    store.publish_catalogue(value);
  }

  static target_record target_of(std::uint64_t tag)
  {
    target_record target;
    target.vm.id = "t-" + std::to_string(tag);
    target.vm.domain = "a";
    target.vm.target_group = "feed";
    target.vm.packet_address = { 0x0a000000U + static_cast<std::uint32_t>(tag), 8000 };
    target.vm.incarnation = 1;
    target.slots = 2;
    return target;
  }

  record_daemon& add_daemon(const std::string& id)
  {
    record_daemon& added = daemons.emplace_back(id, store_server.local());
    servers.push_back(&added.server);
    return added;
  }

  /// Runs all parts until `done`; false after 5 s.
  bool run(const std::function<bool()>& done)
  {
    const instant end = boot_clock_now() + seconds(5);
    while (!done()) {
      std::vector<pollfd> polled;
      for (const page_server* server : servers) {
        server->add_descriptors(polled);
      }
      const std::size_t of_records = polled.size();
      for (const record_daemon& daemon : daemons) {
        daemon.records.add_descriptor(polled);
      }
      ::poll(polled.data(), polled.size(), 5);
      const instant now = boot_clock_now();
      if (now > end) {
        return false;
      }
      std::size_t position = of_records;
      for (record_daemon& daemon : daemons) {
        daemon.records.advance(polled[position++].revents != 0, now);
      }
      for (page_server* server : servers) {
        std::vector<pollfd> own;
        server->add_descriptors(own);
        ::poll(own.data(), own.size(), 0);
        server->advance(own, now);
      }
    }
    return true;
  }

  static bool knows_records(const record_daemon& daemon, std::size_t count)
  {
    const auto all = daemon.records.cache().all();
    return all && all->size() == count;
  }

  /// A daemon that follows the reader and has its records.
  record_daemon& add_follower(const record_daemon& reader)
  {
    BOOST_REQUIRE(run([&] { return is_confirmed_in(reader, 1); }));
    record_daemon& follower = add_daemon("follower");
    follower.sources.on_member({ "reader", "a", reader.server.local(), 1000 }, boot_clock_now());
    BOOST_REQUIRE(run([&] { return is_confirmed_in(follower, 1) && follower.records.followed().has_value(); }));
    return follower;
  }

  static bool is_confirmed_in(const record_daemon& daemon, std::uint64_t era)
  {
    return daemon.records.confirmed_at() && daemon.records.cache().complete() &&
           daemon.records.cache().position().era == era;
  }
};

}

BOOST_FIXTURE_TEST_SUITE(record_paths, record_fixture)

// If each daemon listed from the store, its link and its price would be those of hundreds of lists.
BOOST_AUTO_TEST_CASE(a_follower_enters_an_era_with_the_list_of_its_source)
{
  record_daemon& reader = add_daemon("reader");
  record_daemon& follower = add_follower(reader);
  const auto copy = store.take_copy();
  store.publish_target(target_of(9));
  BOOST_REQUIRE(
    run([&] { return follower.records.cache().all().value_or(std::vector<record_change>{}).size() == 10; }));
  const std::uint64_t lists_before = follower.records.counters().store_lists;
  store.return_from(copy);
  BOOST_REQUIRE(run([&] { return is_confirmed_in(reader, 2) && is_confirmed_in(follower, 2); }));
  BOOST_TEST(follower.records.counters().store_lists == lists_before);
  BOOST_TEST(follower.records.counters().era_lists == 1U);
  BOOST_TEST(reader.records.counters().era_lists == 1U);
  // The target that the copy lacks is retained by both.
  BOOST_TEST(reader.records.cache().all()->size() == 10U);
  BOOST_TEST(follower.records.cache().all()->size() == 10U);
}

// Regression, review/12: a watch that the store ends once made the reader and its followers assume an outage, and they
// went on opening flows at a target that was removed afterwards.
BOOST_AUTO_TEST_CASE(a_watch_that_is_ended_lets_no_removed_target_lapse)
{
  record_daemon& reader = add_daemon("reader");
  record_daemon& follower = add_follower(reader);
  store.end_watches(boot_clock_now());
  BOOST_REQUIRE(run([&] { return reader.records.counters().store_failures == 1; }));
  store.remove_target("t-1");
  for (const record_daemon* daemon : { &reader, &follower }) {
    BOOST_REQUIRE(run([&] { return knows_records(*daemon, 8); }));
    BOOST_TEST((daemon->records.counters().assumed_outages == record_counters{}.assumed_outages));
    BOOST_TEST(daemon->engine.lapsed().count == 0U);
  }
}

// What the store no longer has after an outage lapses at the reader and at its followers, which say why.
BOOST_AUTO_TEST_CASE(targets_removed_by_an_outage_lapse)
{
  record_daemon& reader = add_daemon("reader");
  record_daemon& follower = add_follower(reader);
  store.set_serving(false);
  store.end_watches(boot_clock_now());
  BOOST_REQUIRE(run([&] { return reader.records.counters().store_failures == 1; }));
  const instant failed = boot_clock_now();
  BOOST_REQUIRE(run([&] { return boot_clock_now() - failed > follower_settings{}.max_interruption; }));
  store.remove_target("t-1");
  store.set_serving(true);
  const auto count_of = [](const record_daemon& daemon, outage_sign sign) {
    return daemon.records.counters().assumed_outages.at(static_cast<std::size_t>(sign));
  };
  for (const record_daemon* daemon : { &reader, &follower }) {
    BOOST_REQUIRE(run([&] { return knows_records(*daemon, 8); }));
    BOOST_TEST(daemon->engine.lapsed().count == 1U);
  }
  BOOST_TEST(count_of(reader, outage_sign::calls_failed) == 1U);
  BOOST_TEST(count_of(follower, outage_sign::reported_by_source) == 1U);
}

// A source that has not heard of the era would bring back the records of the old one.
BOOST_AUTO_TEST_CASE(a_source_of_a_lower_era_is_left)
{
  record_daemon& daemon = add_daemon("daemon");
  store.return_from(store.take_copy());
  BOOST_REQUIRE(run([&] { return is_confirmed_in(daemon, 2); }));
  page_server source = listen();
  servers.push_back(&source);
  source.add_page("/records/watch", [](const page_request&, instant) {
    return page{ 200, encode_response(encode_changes({}), { 1, 900 }, {}, {}), "application/msgpack" };
  });
  daemon.sources.on_member({ "source", "a", source.local(), 1000 }, boot_clock_now());
  BOOST_REQUIRE(run([&] { return daemon.records.counters().lower_era_responses == 1; }));
  BOOST_TEST(daemon.records.counters().peer_failures == 1U);
  const instant left = boot_clock_now();
  BOOST_REQUIRE(run([&] { return daemon.records.confirmed_at() > left; }));
  BOOST_TEST(!daemon.records.followed().has_value());
  BOOST_TEST(is_confirmed_in(daemon, 2));
}

// A follower that heard of an era before its source would leave it although the source is listing that era.
BOOST_AUTO_TEST_CASE(a_list_of_a_higher_era_waits_for_the_source_to_enter_it)
{
  record_daemon& reader = add_daemon("reader");
  BOOST_REQUIRE(run([&] { return is_confirmed_in(reader, 1); }));
  http_exchange caller(reader.server.local(), platform::max_response_bytes);
  const record_call call = list_call{ "", false, 2 };
  caller.get(peer_pages::request_target(call, {}), boot_clock_now() + seconds(3));
  const instant asked = boot_clock_now();
  std::optional<std::variant<http_answer, error>> result;
  const auto answered = [&] {
    result = caller.advance(boot_clock_now());
    return result.has_value();
  };
  BOOST_REQUIRE(run([&] { return boot_clock_now() - asked > milliseconds(100) || answered(); }));
  BOOST_TEST(!result.has_value());
  store.return_from(store.take_copy());
  store.publish_target(target_of(1)); // Ends the pending watch of the store.
  BOOST_REQUIRE(run(answered));
  const auto response = peer_pages::read_response(call, std::get<http_answer>(*result));
  BOOST_TEST_REQUIRE(std::holds_alternative<record_page>(response));
  BOOST_TEST(std::get<record_page>(response).position.era == 2U);
  // A source that does not hear of the era says so.
  caller.get(peer_pages::request_target(list_call{ "", false, 3 }, {}), boot_clock_now() + seconds(3));
  BOOST_REQUIRE(run(answered));
  BOOST_TEST(std::get<http_answer>(*result).status == 503);
}

// Guards against an unusable header that stops the reading of records, or that nobody sees.
BOOST_AUTO_TEST_CASE(a_header_that_is_no_number_is_counted_and_the_era_stays)
{
  store.return_from(store.take_copy());
  record_daemon& daemon = add_daemon("daemon");
  BOOST_REQUIRE(run([&] { return is_confirmed_in(daemon, 2); }));
  const std::uint64_t revision = daemon.records.cache().position().revision;
  page_server other = listen();
  servers.push_back(&other);
  const std::string watch = platform::request_target(watch_call{});
  other.add_page(watch.substr(0, watch.find('?')), [revision](const page_request&, instant) {
    return page{ 200,
                 R"({"events":[],"current-rev":)" + std::to_string(revision + 1) + "}",
                 "application/json",
                 { { platform::era_header, "third" } } };
  });
  daemon.records.set_store(other.local());
  BOOST_REQUIRE(run([&] { return daemon.records.cache().position() == store_position(2, revision + 1); }));
  BOOST_TEST(daemon.records.counters().unusable_eras.at(error_kind::syntax) > 0U);
  BOOST_TEST(daemon.records.counters().era_lists == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
