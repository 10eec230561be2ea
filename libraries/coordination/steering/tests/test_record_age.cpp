#include "coltsfootlock/coordination/steering/source_patience.h"
#include "coltsfootlock/coordination/steering/watch_response.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

constexpr milliseconds step(5);
constexpr milliseconds store_retry(3000);

/// One daemon of a domain. Its calls take one step each way.
struct domain_daemon
{
  fleet_member self;
  std::unique_ptr<source_choice> sources;
  std::unique_ptr<record_follower> follower;
  std::optional<fleet_member> peer; ///< The last source; empty for the store.
  age_tolerance tolerance = age_tolerance::usual;
  std::optional<record_call> call;
  instant call_started;
  instant call_deadline;
  instant source_since;
  instant renewed_at;
  instant store_retry_at;
  int store_calls = 0;
  bool frozen = false;
  bool cut = false; ///< From the store.
};

/// The daemons of a domain and a store without changes, in which daemons are cut off from the store or frozen.
struct domain_model
{
  follower_settings settings;
  instant now = instant(seconds(100));
  std::vector<domain_daemon> daemons;
  duration longest_age{}; ///< Of the daemons that are neither cut off nor frozen.

  explicit domain_model(int size)
  {
    for (int number = 0; number < size; ++number) {
      domain_daemon daemon;
      daemon.self = { "entry-" + std::to_string(number),
                      "a",
                      { 0x0a000000U + static_cast<std::uint32_t>(number), 80 } };
      daemon.sources = std::make_unique<source_choice>(daemon.self.id, "a");
      daemon.follower = std::make_unique<record_follower>(settings, static_cast<std::uint32_t>(number));
      daemon.follower->next_call(record_sender::store, false, now);
      daemon.follower->on_response(record_page{ {}, 7, "", false, {} }, now);
      daemons.push_back(std::move(daemon));
    }
  }

  domain_daemon* find(const std::string& id)
  {
    const auto found =
      std::find_if(daemons.begin(), daemons.end(), [&id](const domain_daemon& one) { return one.self.id == id; });
    return found == daemons.end() ? nullptr : &*found;
  }

  /// Ids in descending order of rank.
  std::vector<std::string> by_rank() const
  {
    source_choice seed("entry-100000", "z");
    for (const domain_daemon& one : daemons) {
      seed.on_member(one.self, now);
    }
    std::vector<std::string> result;
    for (const fleet_member& one : seed.member_list_for("a", now).members) {
      result.push_back(one.id);
    }
    return result;
  }

  milliseconds age(const domain_daemon& daemon) const
  {
    return std::chrono::ceil<milliseconds>(now - daemon.follower->confirmed_at().value_or(now));
  }

  milliseconds grace_left(const domain_daemon& daemon) const
  {
    const auto left = std::chrono::ceil<milliseconds>(daemon.follower->outage_grace_end() - now);
    return std::max(left, milliseconds(0));
  }

  void fail(domain_daemon& daemon)
  {
    daemon.call.reset();
    if (daemon.peer) {
      daemon.follower->on_peer_failure();
      daemon.sources->on_failure(daemon.peer->id, now);
      return;
    }
    daemon.store_retry_at = now + store_retry;
    daemon.follower->on_response(call_failed{ { error_kind::unavailable, "no answer" } }, now);
  }

  void receive(domain_daemon& daemon, const response_age& records)
  {
    daemon.call.reset();
    const auto before = daemon.follower->confirmed_at();
    daemon.follower->on_response(record_events{ {}, 7, records }, now);
    if (!before || *daemon.follower->confirmed_at() - *before >= milliseconds(100)) {
      daemon.renewed_at = now;
    }
    if (!daemon.peer) {
      daemon.sources->on_store_success(now);
    } else if (age(daemon) > max_accepted_age(settings, daemon.tolerance)) {
      daemon.sources->on_old_records(daemon.peer->id, now < daemon.store_retry_at, now);
    } else {
      daemon.sources->on_success(daemon.peer->id, now);
    }
  }

  bool store_answers(const domain_daemon& daemon) const
  {
    const auto* watch = std::get_if<watch_call>(&*daemon.call);
    return !daemon.cut && now - daemon.call_started >= 2 * step + (watch != nullptr ? watch->wait : milliseconds(0));
  }

  bool peer_answers(const domain_daemon& daemon, const domain_daemon& source) const
  {
    const auto* watch = std::get_if<watch_call>(&*daemon.call);
    if (source.frozen || !source.follower->confirmed_at() || now - daemon.call_started < 2 * step) {
      return false;
    }
    const pending_watch request{
      7, daemon.call_started + step, watch->wait, 0, max_accepted_age(settings, daemon.tolerance)
    };
    const bool renewing = source.call && !source.sources->in_outage() && now - source.source_since < max_renewal_time;
    return response_is_due(request, { 7, age(source), source.renewed_at, 0, renewing }, now);
  }

  void finish_call(domain_daemon& daemon)
  {
    domain_daemon* source = daemon.peer ? find(daemon.peer->id) : nullptr;
    const bool answered = source != nullptr ? peer_answers(daemon, *source) : store_answers(daemon);
    if (answered) {
      receive(daemon, source != nullptr ? response_age{ age(*source), grace_left(*source) } : response_age{});
    } else if (now >= daemon.call_deadline) {
      fail(daemon);
    }
  }

  void start_call(domain_daemon& daemon)
  {
    record_follower& follower = *daemon.follower;
    const auto confirmed = follower.confirmed_at();
    store_condition store;
    store.failed = now < daemon.store_retry_at;
    store.failing = store.failed && follower.failures() >= 2;
    store.callable = now >= follower.next_wakeup();
    store.overdue = confirmed && now - *confirmed >= settings.max_followed_record_age;
    const record_source source = daemon.sources->choose(store, now);
    const auto* followed = std::get_if<follow_member>(&source);
    const auto wanted = followed != nullptr ? std::optional(followed->member) : std::nullopt;
    daemon.tolerance = followed != nullptr ? followed->tolerance : age_tolerance::usual;
    if (wanted != daemon.peer) {
      daemon.peer = wanted;
      daemon.source_since = now;
      follower.on_source_changed();
    }
    const auto planned = follower.next_call(daemon.peer ? record_sender::own_domain : record_sender::store,
                                            daemon.tolerance == age_tolerance::unlimited,
                                            now);
    if (!planned) {
      return;
    }
    daemon.call = planned->call;
    daemon.call_started = now;
    daemon.call_deadline = now + planned->timeout;
    if (daemon.peer) {
      daemon.call_deadline =
        std::min(daemon.call_deadline, latest_peer_response(settings, daemon.tolerance, confirmed, store.failed, now));
      return;
    }
    ++daemon.store_calls;
    if (std::get<read_store>(source).overdue) {
      daemon.call_deadline = std::min(daemon.call_deadline, now + settings.overdue_read_timeout);
    }
  }

  void play(milliseconds time)
  {
    for (const instant end = now + time; now < end; now += step) {
      const bool members_due = (now - instant{}) % seconds(5) == duration{};
      for (domain_daemon& daemon : daemons) {
        if (daemon.frozen) {
          continue;
        }
        for (const domain_daemon& other : daemons) {
          if (members_due && &other != &daemon) {
            daemon.sources->on_member(other.self, now);
          }
        }
        if (daemon.call) {
          finish_call(daemon);
        }
        if (!daemon.call) {
          start_call(daemon);
        }
        if (!daemon.cut) {
          longest_age = std::max<duration>(longest_age, age(daemon));
        }
      }
    }
  }

  int store_calls() const
  {
    int result = 0;
    for (const domain_daemon& daemon : daemons) {
      result += daemon.store_calls;
    }
    return result;
  }
};

/// Changes have to be in force within 3 s. The rest is for the change on its way and for the packets that wait
/// meanwhile.
constexpr milliseconds max_age(2800);

}

BOOST_AUTO_TEST_SUITE(record_age)

// Regression, review/5: a daemon waited out the timeouts of a reader that was cut off and of its frozen successor, one
// after the other, and opened flows to leaving targets meanwhile.
BOOST_AUTO_TEST_CASE(records_are_current_within_one_bound_however_many_sources_are_silent)
{
  for (const auto& [size, silent] :
       std::vector<std::pair<int, std::size_t>>{ { 3, 0 }, { 3, 1 }, { 9, 5 }, { 57, 1 }, { 57, 3 }, { 57, 7 } }) {
    for (milliseconds phase(0); phase < milliseconds(1300); phase += milliseconds(100)) {
      domain_model domain(size);
      domain.play(milliseconds(6000) + phase);
      const std::vector<std::string> ranked = domain.by_rank();
      domain.find(ranked[0])->cut = true;
      for (std::size_t rank = 1; rank <= silent; ++rank) {
        domain.find(ranked[rank])->frozen = true;
      }
      domain.longest_age = {};
      domain.play(milliseconds(8000));
      BOOST_TEST((domain.longest_age < max_age),
                 size << " daemons, " << silent << " frozen, phase " << phase.count()
                      << " ms: " << std::chrono::duration_cast<milliseconds>(domain.longest_age).count() << " ms");
    }
  }
}

// The same while the store serves none of the daemons with the highest ranks, so that each source has old records.
BOOST_AUTO_TEST_CASE(records_are_current_within_the_bound_if_the_highest_ranks_are_cut_off)
{
  for (const int size : { 9, 57 }) {
    for (milliseconds phase(0); phase < milliseconds(1300); phase += milliseconds(300)) {
      domain_model domain(size);
      domain.play(milliseconds(6000) + phase);
      const std::vector<std::string> ranked = domain.by_rank();
      for (std::size_t rank = 0; rank < 5; ++rank) {
        domain.find(ranked[rank])->cut = true;
      }
      domain.longest_age = {};
      domain.play(milliseconds(8000));
      BOOST_TEST((domain.longest_age < max_age),
                 size << " daemons, phase " << phase.count()
                      << " ms: " << std::chrono::duration_cast<milliseconds>(domain.longest_age).count() << " ms");
    }
  }
}

// The store refuses or does not answer the reader alone, for a while or for good. It serves the others, so that what it
// removes is gone for them, and the reader itself follows one of them before it reads the store again.
BOOST_AUTO_TEST_CASE(a_reader_that_is_cut_off_alone_makes_no_other_daemon_assume_an_outage)
{
  for (const int size : { 3, 9, 57 }) {
    for (const milliseconds cut_for :
         { milliseconds(500), milliseconds(2000), milliseconds(3500), milliseconds(8000) }) {
      for (milliseconds phase(0); phase < milliseconds(1300); phase += milliseconds(300)) {
        domain_model domain(size);
        domain.play(milliseconds(6000) + phase);
        domain_daemon& reader = *domain.find(domain.by_rank().front());
        reader.cut = true;
        domain.play(cut_for);
        reader.cut = false;
        domain.play(milliseconds(10000));
        for (const domain_daemon& one : domain.daemons) {
          BOOST_TEST((one.self.id == reader.self.id || !one.follower->outage().has_value()),
                     one.self.id << " of " << size << ", cut off for " << cut_for.count() << " ms, phase "
                                 << phase.count() << " ms");
        }
      }
    }
  }
}

// A source that does not answer is given up when its records should have been renewed, and any source when the records
// are to be read from the store.
BOOST_AUTO_TEST_CASE(a_source_is_given_up_in_time_to_read_the_store)
{
  const follower_settings settings;
  const instant confirmed(seconds(10));
  const auto latest = [&](milliseconds age, bool store_failed = false) {
    return latest_peer_response(settings, age_tolerance::usual, confirmed, store_failed, confirmed + age);
  };
  const instant overdue = confirmed + settings.max_followed_record_age;
  BOOST_TEST((latest(milliseconds(0)) == confirmed + settings.max_peer_record_age + settings.age_report_time));
  BOOST_TEST((latest(settings.max_peer_record_age) == overdue));
  BOOST_TEST((latest(settings.max_followed_record_age) == instant::max())); // The store cannot be called yet.
  BOOST_TEST((latest(milliseconds(0), true) == instant::max()));
  BOOST_TEST((settings.max_followed_record_age + settings.overdue_read_timeout < max_age));
}

// Load pattern: all sources that a daemon asks have old records, although the store serves it. It finds that out before
// it assumes an outage of the store.
BOOST_AUTO_TEST_CASE(a_daemon_reads_the_store_before_it_assumes_an_outage)
{
  const instant now(seconds(10));
  domain_model domain(9);
  source_choice daemon("entry-100", "a");
  for (const domain_daemon& one : domain.daemons) {
    fleet_member member = one.self;
    member.link_kbps = 200000;
    daemon.on_member(member, now);
  }
  for (unsigned count = 0; count < source_choice::min_old_sources; ++count) {
    const record_source source = daemon.choose({}, now);
    BOOST_REQUIRE(std::holds_alternative<follow_member>(source));
    daemon.on_old_records(std::get<follow_member>(source).member.id, false, now);
  }
  BOOST_TEST(!daemon.in_outage());
  BOOST_TEST((daemon.choose({}, now) == record_source(read_store{ true })));
  store_condition failed;
  failed.failed = true;
  const record_source next = daemon.choose(failed, now);
  BOOST_REQUIRE(std::holds_alternative<follow_member>(next));
  daemon.on_old_records(std::get<follow_member>(next).member.id, true, now);
  BOOST_TEST(daemon.in_outage());
}

// The bound costs no calls while all daemons answer: only the reader calls the store, once each `watch_wait`.
BOOST_AUTO_TEST_CASE(a_calm_domain_has_one_reader)
{
  for (const int size : { 3, 57 }) {
    domain_model domain(size);
    domain.play(milliseconds(10000));
    const int before = domain.store_calls();
    domain.play(milliseconds(60000));
    BOOST_TEST(domain.store_calls() - before <= 60000 / domain.settings.watch_wait.count(), size);
  }
}

BOOST_AUTO_TEST_SUITE_END()
