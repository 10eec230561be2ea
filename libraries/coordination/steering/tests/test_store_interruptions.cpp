#include "daemon_model.h"

#include "coltsfootlock/coordination/steering/watch_response.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
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

constexpr milliseconds step(5);

/// Longest time in which a removal has to be in force.
constexpr milliseconds drain_time(3000);

/// Longest time for which a target is kept that an outage of the store removed, counted from the first response after
/// it: the grace period, the wait of the watch that confirms the records as of its end, and the calls.
constexpr milliseconds max_hold_time(2500 + 1200 + 200);

/// Interval between the heartbeats of targets.
constexpr milliseconds heartbeat(770);

enum class store_state
{
  serves,
  refuses,       ///< Each call fails at once.
  rate_limits,   ///< The same, since too many calls were made.
  sends_garbage, ///< Each response is unreadable.
  is_silent
};

struct model_store
{
  store_state state = store_state::serves;
  std::map<std::string, record_change> records;
  std::vector<record_change> changes;
  store_position position{ 1, 100 };
  store_position history_begins; ///< Changes up to this position are not available.

  void write(const std::string& key, const decltype(record_change::content)& content)
  {
    ++position.revision;
    records.insert_or_assign(key, record_change{ position, content });
    changes.push_back({ position, content });
  }

  void publish(const target_record& target) { write(target.vm.id, target_published{ target }); }

  void remove(const vm_id& id)
  {
    ++position.revision;
    records.erase(id);
    changes.push_back({ position, target_removed{ id } });
  }

  std::vector<record_change> since(const store_position& after) const
  {
    std::vector<record_change> result;
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(result), [&](const record_change& change) {
      return change.position > after;
    });
    return result;
  }

  record_page list() const
  {
    std::vector<record_change> all;
    for (const auto& [key, record] : records) {
      all.push_back(record);
    }
    return { all, position, "", false, {} };
  }
};

struct chained_daemon
{
  std::string role;
  record_sender sender = record_sender::store;
  chained_daemon* source = nullptr; ///< Null for the store.
  daemon_model model;
  std::optional<record_call> call{};
  instant called{};
  instant deadline{};
  instant renewed_at{};
};

/// A reader of the store, a relay that follows it and a follower of the relay. Calls take one step each way.
class chain_of_daemons
{
public:
  instant now = instant(seconds(10));
  model_store store;
  std::deque<chained_daemon> daemons;

  chain_of_daemons()
  {
    store.write("catalogue", catalogue_published{ catalogue_of(1) });
    store.publish(written(1, 10));
    add("reader", record_sender::store, nullptr);
    add("relay", record_sender::own_domain, &daemons.front());
    add("follower", record_sender::own_domain, &daemons.back());
    play(milliseconds(5000));
  }

  chained_daemon& add(const std::string& role, record_sender sender, chained_daemon* source)
  {
    daemons.push_back({ role, sender, source, daemon_model(static_cast<std::uint32_t>(daemons.size()) + 7) });
    chained_daemon& daemon = daemons.back();
    daemon.model.engine.on_pause(now);
    daemon.model.engine.on_backlog_end();
    return daemon;
  }

  chained_daemon& reader() { return daemons.front(); }

  void play(duration time)
  {
    const instant end = now + time;
    while (now < end) {
      now += step;
      for (chained_daemon& daemon : daemons) {
        advance(daemon);
      }
    }
  }

  /// Ends the watches of the store that wait.
  void cut_watches()
  {
    for (chained_daemon& daemon : daemons) {
      if (daemon.source == nullptr && daemon.call && waits(*daemon.call)) {
        fail(daemon, error_kind::unavailable);
      }
    }
  }

  /// The daemons that open new flows at a target.
  std::string users_of(std::uint64_t tag)
  {
    std::string result;
    for (chained_daemon& daemon : daemons) {
      result += daemon.model.chosen(now).contains(tag) ? daemon.role + " " : "";
    }
    return result;
  }

  /// Lets a target get an answer through each daemon, so that its flow is open there.
  void open_flows(std::uint16_t port)
  {
    for (chained_daemon& daemon : daemons) {
      carried_packet packet;
      packet.flow = steering_fixture::flow_of(port);
      packet.opens = true;
      packet.sequence = 100;
      const auto decision = daemon.model.engine.on_packet(packet, now);
      const auto* opened = std::get_if<forward_packet>(&decision);
      BOOST_REQUIRE(opened != nullptr);
      packet.opens = false;
      packet.token = opened->token;
      packet.acknowledged = 1;
      packet.sequence = 101;
      daemon.model.engine.on_packet(packet, now);
    }
  }

  /// Takes the events of the daemon.
  static bool has_event(chained_daemon& daemon, const std::string& start)
  {
    const std::vector<steering_event> events = daemon.model.engine.take_events();
    return std::any_of(
      events.begin(), events.end(), [&start](const steering_event& event) { return event.message.starts_with(start); });
  }

  std::uint64_t resets() const
  {
    std::uint64_t result = 0;
    for (const chained_daemon& daemon : daemons) {
      result += daemon.model.resets;
    }
    return result;
  }

private:
  static bool waits(const record_call& call)
  {
    const auto* watch = std::get_if<watch_call>(&call);
    return watch != nullptr && watch->wait > milliseconds(0);
  }

  void receive(chained_daemon& daemon, const record_response& response)
  {
    daemon.call.reset();
    const auto before = daemon.model.follower.confirmed_at();
    daemon.model.receive(response, now);
    const auto after = daemon.model.follower.confirmed_at();
    if (after && (!before || *after - *before >= milliseconds(100))) {
      daemon.renewed_at = now;
    }
  }

  void fail(chained_daemon& daemon, error_kind kind)
  {
    receive(daemon, call_failed{ { kind, "the store does not serve" } });
  }

  void advance(chained_daemon& daemon)
  {
    daemon.model.tick(now);
    if (daemon.call && now - daemon.called >= 2 * step) {
      daemon.source == nullptr ? finish_store_call(daemon) : finish_peer_call(daemon);
    }
    if (!daemon.call) {
      if (const auto planned = daemon.model.follower.next_call(daemon.sender, false, now)) {
        daemon.call = planned->call;
        daemon.called = now;
        daemon.deadline = now + planned->timeout;
      }
    }
  }

  void finish_store_call(chained_daemon& daemon)
  {
    switch (store.state) {
      case store_state::refuses:
        return fail(daemon, error_kind::unavailable);
      case store_state::rate_limits:
        return fail(daemon, error_kind::rate_limited);
      case store_state::sends_garbage:
        return fail(daemon, error_kind::syntax);
      case store_state::is_silent:
        return now >= daemon.deadline ? fail(daemon, error_kind::unavailable) : void();
      case store_state::serves:
        break;
    }
    const auto* watch = std::get_if<watch_call>(&*daemon.call);
    if (watch == nullptr) {
      return receive(daemon, store.list());
    }
    if (watch->after.era == store.position.era && watch->after < store.history_begins) {
      return receive(daemon, history_unavailable{ store.position.era });
    }
    const bool due = now - daemon.called >= watch->wait + 2 * step;
    if (due || watch->after.era != store.position.era || store.position > watch->after) {
      receive(daemon, record_events{ store.since(watch->after), store.position, {} });
    }
  }

  void finish_peer_call(chained_daemon& daemon)
  {
    chained_daemon& source = *daemon.source;
    const auto confirmed = source.model.follower.confirmed_at();
    if (!confirmed || !source.model.cache.complete()) {
      return;
    }
    const response_age age{ std::chrono::ceil<milliseconds>(now - *confirmed),
                            std::max(std::chrono::ceil<milliseconds>(source.model.follower.outage_grace_end() - now),
                                     milliseconds(0)),
                            source.model.follower.domain_lag() };
    const record_cache& cache = source.model.cache;
    const auto* watch = std::get_if<watch_call>(&*daemon.call);
    if (watch == nullptr) {
      return receive(daemon, record_page{ cache.all().value(), cache.position(), "", false, age });
    }
    const pending_watch request{ watch->after, daemon.called + step, watch->wait, 0, std::chrono::hours(1) };
    if (!response_is_due(request, { cache.position(), age.records, source.renewed_at, 0, false }, now)) {
      return;
    }
    const auto changes = cache.since(watch->after);
    if (!changes) {
      return receive(daemon, history_unavailable{});
    }
    receive(daemon, record_events{ *changes, cache.position(), age });
  }
};

const std::vector<milliseconds> phases = {
  milliseconds(0),   milliseconds(150), milliseconds(300), milliseconds(450),
  milliseconds(600), milliseconds(750), milliseconds(900), milliseconds(1050)
};

}

BOOST_FIXTURE_TEST_SUITE(store_interruptions, chain_of_daemons)

// Regression, review/12: one cut watch counted as an outage of the store, and each response renewed the grace period
// that it began, so that all daemons opened flows at a removed target until something else changed in the store.
BOOST_AUTO_TEST_CASE(a_target_that_is_removed_after_a_cut_watch_gets_no_new_flows)
{
  for (const milliseconds phase : phases) {
    for (const milliseconds later : { milliseconds(0), milliseconds(100), milliseconds(1000), milliseconds(2400) }) {
      chain_of_daemons fleet;
      fleet.play(phase);
      fleet.cut_watches();
      fleet.play(later);
      fleet.store.remove("t-1");
      fleet.play(drain_time);
      BOOST_TEST(fleet.users_of(1).empty(),
                 fleet.users_of(1) << "phase " << phase.count() << " ms, removed " << later.count() << " ms later");
    }
  }
}

// The same for watches that are cut in a row, before and after the removal.
BOOST_AUTO_TEST_CASE(a_target_that_is_removed_between_many_cut_watches_gets_no_new_flows)
{
  for (const milliseconds interval : { milliseconds(50), milliseconds(300), milliseconds(700), milliseconds(1150) }) {
    for (const int cuts_before : { 0, 1, 3, 12 }) {
      chain_of_daemons fleet;
      for (int cut = 0; cut < cuts_before; ++cut) {
        fleet.cut_watches();
        fleet.play(interval);
      }
      fleet.store.remove("t-1");
      const instant removed = fleet.now;
      while (fleet.now < removed + drain_time) {
        fleet.play(interval);
        fleet.cut_watches();
      }
      BOOST_TEST(fleet.users_of(1).empty(),
                 fleet.users_of(1) << cuts_before << " cuts before, every " << interval.count() << " ms");
    }
  }
}

// A single refused or unreadable response shows no outage, nor do some in a row, as long as no target can have missed
// its heartbeats.
BOOST_AUTO_TEST_CASE(a_target_that_is_removed_after_short_refusals_gets_no_new_flows)
{
  for (const store_state state : { store_state::refuses, store_state::rate_limits, store_state::sends_garbage }) {
    for (const milliseconds phase : phases) {
      for (const milliseconds refused_for : { milliseconds(20), milliseconds(200), milliseconds(400) }) {
        chain_of_daemons fleet;
        fleet.play(phase);
        fleet.cut_watches();
        fleet.store.state = state;
        fleet.play(refused_for);
        fleet.store.state = store_state::serves;
        fleet.play(milliseconds(1000));
        fleet.store.remove("t-1");
        fleet.play(drain_time);
        BOOST_TEST(fleet.users_of(1).empty(),
                   fleet.users_of(1) << "state " << static_cast<int>(state) << ", phase " << phase.count()
                                     << " ms, refused for " << refused_for.count() << " ms");
      }
    }
  }
}

// What expired during an outage is kept for a bounded time although nothing else changes in the store: new flows
// still find it while it may be alive, and none afterwards.
BOOST_AUTO_TEST_CASE(targets_removed_by_an_outage_are_kept_for_a_bounded_time)
{
  for (const store_state state : { store_state::refuses, store_state::is_silent }) {
    for (const milliseconds phase : phases) {
      chain_of_daemons fleet;
      fleet.play(phase);
      fleet.store.state = state;
      fleet.cut_watches();
      fleet.play(milliseconds(4000));
      fleet.store.remove("t-1");
      fleet.store.state = store_state::serves;
      const auto regained = [&fleet] { return fleet.reader().model.follower.position() == fleet.store.position; };
      while (!regained()) {
        fleet.play(step);
      }
      fleet.play(milliseconds(2300));
      BOOST_TEST(fleet.users_of(1) == "reader relay follower ", fleet.users_of(1) << "phase " << phase.count());
      fleet.play(max_hold_time - milliseconds(2300));
      BOOST_TEST(fleet.users_of(1).empty(), fleet.users_of(1) << "phase " << phase.count());
    }
  }
}

// What an operator sees while removed targets are kept: why, since when, and for which targets.
BOOST_AUTO_TEST_CASE(kept_targets_are_counted_and_logged)
{
  store.state = store_state::refuses;
  cut_watches();
  const instant lost = now;
  play(milliseconds(4000));
  store.remove("t-1");
  store.state = store_state::serves;
  play(milliseconds(1000));
  for (chained_daemon& daemon : daemons) {
    const auto outage = daemon.model.follower.outage();
    BOOST_TEST_REQUIRE(outage.has_value());
    BOOST_TEST(
      (outage->sign == (daemon.source == nullptr ? outage_sign::calls_failed : outage_sign::reported_by_source)));
    BOOST_TEST((outage->since <= lost && lost - outage->since <= milliseconds(1300)), daemon.role);
    BOOST_TEST((outage->noticed > lost && outage->noticed < now));
    BOOST_TEST((outage->grace_end > now));
    BOOST_TEST(daemon.model.engine.lapsed().count == 1U);
    BOOST_TEST((daemon.model.engine.lapsed().since.value() >= outage->noticed));
    BOOST_TEST(has_event(daemon, "lapsed grace_left_ms="), daemon.role);
  }
}

// The end of the wait is logged as well, and nothing counts as kept any more.
BOOST_AUTO_TEST_CASE(the_end_of_the_wait_for_removed_targets_is_logged)
{
  store.state = store_state::refuses;
  cut_watches();
  play(milliseconds(4000));
  store.remove("t-1");
  store.state = store_state::serves;
  play(milliseconds(1000) + max_hold_time);
  for (chained_daemon& daemon : daemons) {
    BOOST_TEST(daemon.model.engine.lapsed().count == 0U);
    BOOST_TEST(!daemon.model.engine.lapsed().since.has_value());
    BOOST_TEST(has_event(daemon, "gone lapsed_ms="), daemon.role);
  }
}

// The other side: records of living targets expire during an outage and return within two seconds of its end. Open
// flows go on, and new ones find a target all the while.
BOOST_AUTO_TEST_CASE(living_targets_keep_their_flows_through_an_outage)
{
  for (const store_state state : { store_state::refuses, store_state::is_silent }) {
    for (const milliseconds away : { 2 * heartbeat, milliseconds(2500), milliseconds(6000) }) {
      for (const milliseconds phase : phases) {
        chain_of_daemons fleet;
        fleet.play(phase);
        fleet.open_flows(1);
        fleet.store.state = state;
        fleet.cut_watches();
        fleet.play(away);
        fleet.store.remove("t-1");
        fleet.store.state = store_state::serves;
        for (const instant back = fleet.now + milliseconds(2000); fleet.now < back;) {
          fleet.play(milliseconds(100));
          BOOST_TEST(fleet.users_of(1) == "reader relay follower ",
                     fleet.users_of(1) << "away " << away.count() << " ms, phase " << phase.count() << " ms");
        }
        fleet.store.publish(written(1, 11));
        fleet.play(milliseconds(6000));
        BOOST_TEST(fleet.resets() == 0U, "away " << away.count() << " ms, phase " << phase.count() << " ms");
        BOOST_TEST(fleet.users_of(1) == "reader relay follower ");
      }
    }
  }
}

// The same for flows without packets, which show no sign of life: only the grace period protects them.
BOOST_AUTO_TEST_CASE(quiet_flows_of_living_targets_are_not_reset_after_an_outage)
{
  for (const store_state state : { store_state::refuses, store_state::is_silent }) {
    for (const milliseconds away : { 2 * heartbeat, milliseconds(2500), milliseconds(6000) }) {
      for (const milliseconds phase : phases) {
        chain_of_daemons fleet;
        fleet.play(phase);
        fleet.open_flows(1);
        fleet.store.state = state;
        fleet.cut_watches();
        fleet.play(away);
        fleet.store.remove("t-1");
        fleet.store.state = store_state::serves;
        fleet.play(milliseconds(2000));
        fleet.store.publish(written(1, 11));
        fleet.play(milliseconds(6000));
        BOOST_TEST(fleet.resets() == 0U, "away " << away.count() << " ms, phase " << phase.count() << " ms");
      }
    }
  }
}

// Guards against the cases above passing because nothing is ever reset: a target that is removed on an ordinary day, or
// does not return after an outage, loses its quiet flows at all daemons.
BOOST_AUTO_TEST_CASE(quiet_flows_of_targets_that_do_not_return_are_reset)
{
  for (const bool after_outage : { false, true }) {
    chain_of_daemons fleet;
    fleet.open_flows(1);
    if (after_outage) {
      fleet.store.state = store_state::refuses;
      fleet.cut_watches();
    }
    fleet.play(milliseconds(4000));
    fleet.store.remove("t-1");
    fleet.store.state = store_state::serves;
    fleet.play(milliseconds(1000) + max_hold_time);
    BOOST_TEST(fleet.resets() == fleet.daemons.size(), fleet.resets());
  }
}

// Watches that are cut while targets wait for their records to return do not extend the wait, and an outage does.
BOOST_AUTO_TEST_CASE(only_another_outage_extends_the_grace_period)
{
  const auto play_outage = [](chain_of_daemons& fleet) {
    fleet.store.state = store_state::refuses;
    fleet.cut_watches();
    fleet.play(milliseconds(4000));
    fleet.store.state = store_state::serves;
  };
  chain_of_daemons cut;
  play_outage(cut);
  cut.store.remove("t-1");
  cut.play(milliseconds(1000)); // The longest delay of a call after an outage.
  for (const instant end = cut.now + max_hold_time; cut.now < end;) {
    cut.play(milliseconds(300));
    cut.cut_watches();
  }
  BOOST_TEST(cut.users_of(1).empty(), cut.users_of(1));
  chain_of_daemons away;
  play_outage(away);
  away.store.remove("t-1");
  away.play(milliseconds(2000));
  play_outage(away);
  away.play(milliseconds(2000));
  BOOST_TEST(away.users_of(1) == "reader relay follower ");
  away.play(max_hold_time);
  BOOST_TEST(away.users_of(1).empty(), away.users_of(1));
}

// The store may discard its history on any day. The list that follows has what exists, and what it lacks was removed.
BOOST_AUTO_TEST_CASE(a_target_that_is_removed_while_the_history_is_forgotten_gets_no_new_flows)
{
  for (const milliseconds phase : phases) {
    chain_of_daemons fleet;
    fleet.play(phase);
    fleet.cut_watches();
    fleet.store.remove("t-1");
    fleet.store.history_begins = fleet.store.position;
    fleet.play(drain_time);
    BOOST_TEST(fleet.users_of(1).empty(), fleet.users_of(1) << "phase " << phase.count());
  }
}

// An outage in which the store forgets its history as well.
BOOST_AUTO_TEST_CASE(targets_that_a_list_after_an_outage_lacks_are_kept_for_a_bounded_time)
{
  for (const milliseconds phase : phases) {
    chain_of_daemons fleet;
    fleet.play(phase);
    fleet.open_flows(1);
    fleet.store.state = store_state::refuses;
    fleet.cut_watches();
    fleet.play(milliseconds(4000));
    fleet.store.remove("t-1");
    fleet.store.history_begins = fleet.store.position;
    fleet.store.state = store_state::serves;
    fleet.play(milliseconds(2300));
    BOOST_TEST(fleet.users_of(1) == "reader relay follower ", fleet.users_of(1) << "phase " << phase.count());
    BOOST_TEST(fleet.resets() == 0U);
    fleet.play(milliseconds(1000) + max_hold_time - milliseconds(2300));
    BOOST_TEST(fleet.users_of(1).empty(), fleet.users_of(1) << "phase " << phase.count());
  }
}

// A withdrawal that the store lost for good, and a target that it lacks, in a store in which nothing else changes.
// Daemons that start get the target from the cache only until then.
BOOST_AUTO_TEST_CASE(what_a_new_era_lacks_is_kept_for_a_bounded_time)
{
  for (const milliseconds phase : phases) {
    chain_of_daemons fleet;
    fleet.store.publish(written(2, 10, false, "b"));
    fleet.store.write("domain b", domain_switched{ "b", false });
    fleet.play(milliseconds(1000) + phase);
    BOOST_TEST(fleet.users_of(2).empty());
    fleet.store.position = { 2, 50 };
    fleet.store.changes.clear();
    fleet.store.records.clear();
    fleet.store.write("catalogue", catalogue_published{ catalogue_of(1) });
    fleet.store.publish(written(2, 11, false, "b"));
    fleet.cut_watches();
    fleet.play(milliseconds(2000));
    BOOST_TEST(fleet.users_of(1) == "reader relay follower ", fleet.users_of(1) << "phase " << phase.count());
    BOOST_TEST(fleet.users_of(2).empty(), fleet.users_of(2) << "phase " << phase.count());
    fleet.play(milliseconds(300) + max_hold_time - milliseconds(2000));
    BOOST_TEST(fleet.users_of(1).empty(), fleet.users_of(1) << "phase " << phase.count());
    BOOST_TEST(fleet.users_of(2) == "reader relay follower ", fleet.users_of(2) << "phase " << phase.count());
    for (const chained_daemon& daemon : fleet.daemons) {
      BOOST_TEST(daemon.model.cache.all()->size() == 2U, daemon.role);
      BOOST_TEST((daemon.model.follower.outage_grace_end() < fleet.now), daemon.role);
    }
  }
}

// A daemon whose first call is cut or refused once takes the removals that follow for what they are.
BOOST_AUTO_TEST_CASE(a_daemon_that_starts_after_a_failed_call_keeps_no_removed_target)
{
  chained_daemon& started = add("started", record_sender::store, nullptr);
  started.model.call(record_sender::store, now);
  started.model.receive(call_failed{ { error_kind::unavailable, "the connection was closed" } }, now);
  play(milliseconds(500));
  store.remove("t-1");
  play(drain_time);
  BOOST_TEST(users_of(1).empty(), users_of(1));
}

// A daemon that starts during an outage knows records from a list of old pages. What the store no longer has when it
// comes back may be alive.
BOOST_AUTO_TEST_CASE(a_daemon_that_starts_during_an_outage_keeps_removed_targets)
{
  chained_daemon& started = add("started", record_sender::store, nullptr);
  started.model.call(record_sender::store, now);
  started.model.receive(store.list(), now);
  store.state = store_state::refuses;
  play(milliseconds(4000));
  store.remove("t-1");
  store.state = store_state::serves;
  play(milliseconds(2300));
  BOOST_TEST(users_of(1) == "reader relay follower started ", users_of(1));
  play(milliseconds(1000) + max_hold_time - milliseconds(2300));
  BOOST_TEST(users_of(1).empty(), users_of(1));
}

// The store refuses one daemon for a long time and serves another one of its domain, whose records show that the
// targets could write.
BOOST_AUTO_TEST_CASE(a_daemon_that_was_refused_alone_keeps_no_removed_target)
{
  chained_daemon& refused = add("refused", record_sender::store, nullptr);
  play(milliseconds(2000));
  refused.model.call(record_sender::store, now);
  refused.call.reset();
  for (int failures = 0; failures < 3; ++failures) {
    refused.model.receive(call_failed{ { error_kind::unavailable, "refused" } }, now);
    now = std::max(now, refused.model.follower.next_wakeup());
    refused.model.call(record_sender::store, now);
  }
  refused.model.receive(call_failed{ { error_kind::unavailable, "refused" } }, now);
  refused.sender = record_sender::own_domain;
  refused.source = &reader();
  play(milliseconds(4000));
  refused.sender = record_sender::store;
  refused.source = nullptr;
  refused.call.reset();
  refused.model.follower.on_peer_failure();
  play(milliseconds(100));
  store.remove("t-1");
  play(drain_time);
  BOOST_TEST(users_of(1).empty(), users_of(1));
}

// A call failed long ago, and the daemon has followed another one since. When that one falls silent, it reads the store
// after the time in which a reader that is silent is noticed.
BOOST_AUTO_TEST_CASE(an_interruption_ends_when_another_daemon_of_the_domain_is_served)
{
  record_follower follower(follower_settings{}, 1);
  const auto respond = [&](record_sender sender, const record_response& response) {
    BOOST_REQUIRE(follower.next_call(sender, false, now).has_value());
    return follower.on_response(response, now);
  };
  respond(record_sender::own_domain, record_page{ {}, { 1, 100 }, "", false, {} });
  respond(record_sender::store, call_failed{ { error_kind::unavailable, "refused" } });
  for (const instant end = now + milliseconds(5000); now < end;) {
    now += milliseconds(600);
    respond(record_sender::own_domain, record_events{ {}, { 1, 100 }, {} });
  }
  now += follower_settings{}.max_successor_record_age;
  const auto progress = respond(record_sender::store, record_events{ {}, { 1, 100 }, {} });
  BOOST_TEST(progress.regained);
  BOOST_TEST(!progress.outage.has_value());
}

// A domain that is cut off from the store follows another domain, whose records are current: its targets could not
// write, and what expired returns after the end of the partition.
BOOST_AUTO_TEST_CASE(a_domain_that_was_cut_off_keeps_removed_targets_when_it_reads_the_store_again)
{
  chained_daemon& elsewhere = add("elsewhere", record_sender::store, nullptr);
  chained_daemon& cut_off = add("cut off", record_sender::store, nullptr);
  play(milliseconds(2000));
  cut_off.model.call(record_sender::store, now);
  cut_off.model.receive(call_failed{ { error_kind::unavailable, "no answer" } }, now);
  cut_off.model.call(record_sender::store, now);
  cut_off.model.receive(call_failed{ { error_kind::unavailable, "no answer" } }, now);
  cut_off.sender = record_sender::other_domain;
  cut_off.source = &elsewhere;
  cut_off.call.reset();
  play(milliseconds(2000));
  cut_off.sender = record_sender::store;
  cut_off.source = nullptr;
  cut_off.call.reset();
  cut_off.model.follower.on_peer_failure();
  play(milliseconds(100));
  store.remove("t-1");
  play(milliseconds(100));
  BOOST_TEST(users_of(1) == "cut off ", users_of(1));
}

// The same for a daemon that follows the one of its domain that follows another domain: their records are current, and
// still the store serves none of them.
BOOST_AUTO_TEST_CASE(a_follower_in_a_domain_that_was_cut_off_keeps_removed_targets)
{
  chained_daemon& elsewhere = add("elsewhere", record_sender::store, nullptr);
  chained_daemon& contact = add("contact", record_sender::store, nullptr);
  chained_daemon& cut_off = add("cut off", record_sender::store, nullptr);
  play(milliseconds(2000));
  const auto follow = [](chained_daemon& daemon, record_sender sender, chained_daemon* source) {
    if (daemon.call) {
      daemon.model.follower.on_peer_failure();
    }
    daemon.call.reset();
    daemon.sender = sender;
    daemon.source = source;
  };
  for (chained_daemon* daemon : { &contact, &cut_off }) {
    daemon->model.call(record_sender::store, now);
    daemon->model.receive(call_failed{ { error_kind::unavailable, "no answer" } }, now);
    daemon->call.reset();
  }
  follow(contact, record_sender::other_domain, &elsewhere);
  follow(cut_off, record_sender::own_domain, &contact);
  play(milliseconds(2000));
  BOOST_TEST((now - cut_off.model.follower.confirmed_at().value() <= milliseconds(1300)));
  follow(cut_off, record_sender::store, nullptr);
  play(milliseconds(100));
  store.remove("t-1");
  play(milliseconds(100));
  BOOST_TEST(users_of(1) == "cut off ", users_of(1));
}

// A response passes on what is left of its sender's grace period, and one without any does not touch that of the
// receiver.
BOOST_AUTO_TEST_CASE(a_response_without_a_grace_period_does_not_move_its_end)
{
  record_follower follower(follower_settings{}, 1);
  const auto respond = [&](milliseconds grace_left) {
    BOOST_REQUIRE(follower.next_call(record_sender::own_domain, false, now).has_value());
    follower.on_response(record_events{ {}, { 1, 100 }, { milliseconds(0), grace_left } }, now);
  };
  BOOST_REQUIRE(follower.next_call(record_sender::own_domain, false, now).has_value());
  follower.on_response(record_page{ {}, { 1, 100 }, "", false, {} }, now);
  respond(milliseconds(0));
  BOOST_TEST((follower.outage_grace_end() < now));
  respond(milliseconds(800));
  const instant ends = now + milliseconds(800);
  BOOST_TEST((follower.outage_grace_end() == ends));
  for (int response = 0; response < 20; ++response) {
    now += milliseconds(100);
    respond(milliseconds(0));
    BOOST_TEST((follower.outage_grace_end() == ends));
  }
}

BOOST_AUTO_TEST_SUITE_END()
