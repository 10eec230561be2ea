#include "carried/record_path.h"

#include "carried/peer_pages.h"

#include "coltsfootlock/coordination/steering/source_patience.h"
#include "coltsfootlock/coordination/steering/watch_response.h"
#include "coltsfootlock/protocol/relay_codec.h"
#include "coltsfootlock/transport/log.h"
#include "platform/store_api.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

/// Bucket bounds from the latency of a nearby store to that of one hundreds of times slower.
const std::vector<double> call_seconds = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5 };

/// Null if the response has none.
const observation_list*
observations_of(const record_response& response)
{
  if (const auto* page = std::get_if<record_page>(&response)) {
    return &page->observations;
  }
  const auto* events = std::get_if<record_events>(&response);
  return events == nullptr ? nullptr : &events->observations;
}

}

record_path::record_path(std::string domain,
                         const endpoint& store,
                         const follower_settings& settings,
                         std::uint32_t seed,
                         source_choice& sources,
                         observation_path& observations,
                         load_path& loads,
                         steering_engine& engine)
  : domain_(std::move(domain))
  , settings_(settings)
  , store_(store)
  , store_exchange_(store, platform::max_response_bytes, platform::era_header)
  , peer_exchange_(store, platform::max_response_bytes)
  , follower_(settings, seed)
  , sources_(sources)
  , observations_(observations)
  , loads_(loads)
  , engine_(engine)
  , list_seconds_(call_seconds)
{
}

void
record_path::set_settings(const follower_settings& settings)
{
  settings_ = settings;
  follower_.set_settings(settings);
}

void
record_path::set_store(const endpoint& store)
{
  if (store == store_) {
    return;
  }
  const bool interrupted = !peer_ && store_exchange_.busy();
  store_ = store;
  store_exchange_ = http_exchange(store, platform::max_response_bytes, platform::era_header);
  if (interrupted) {
    follower_.on_response(call_failed{ { error_kind::stale, "the address of the store has changed" } }, call_started_);
  }
}

void
record_path::add_descriptor(std::vector<pollfd>& wanted) const
{
  wanted.push_back({ exchange().descriptor(), exchange().events(), 0 });
}

instant
record_path::next_wakeup() const
{
  if (exchange().busy()) {
    return call_deadline_;
  }
  return members_awaited_until_ ? *members_awaited_until_ : follower_.next_wakeup();
}

std::optional<response_age>
record_path::age(instant now) const
{
  if (!follower_.confirmed_at()) {
    return std::nullopt;
  }
  return response_age{ std::chrono::ceil<milliseconds>(now - *follower_.confirmed_at()),
                       std::max(std::chrono::ceil<milliseconds>(follower_.outage_grace_end() - now), milliseconds(0)),
                       follower_.domain_lag() };
}

void
record_path::abandon_call(instant now)
{
  const call_failed unexpected{ { error_kind::unavailable, "an unexpected error, see the log before" } };
  if (peer_) {
    peer_exchange_ = http_exchange(peer_->call_address, platform::max_response_bytes);
  } else {
    store_exchange_ = http_exchange(store_, platform::max_response_bytes, platform::era_header);
  }
  on_response(unexpected, now);
}

void
record_path::advance(bool ready, instant now)
{
  if (ready || (exchange().busy() && now >= call_deadline_)) {
    if (auto result = exchange().advance(now)) {
      if (const auto* response = std::get_if<http_answer>(&*result)) {
        on_response(read_response(*response), now);
      } else {
        on_response(call_failed{ std::get<error>(std::move(*result)) }, now);
      }
    }
  }
  if (!exchange().busy()) {
    start_call(now);
  }
}

bool
record_path::is_renewing(instant now) const
{
  return exchange().busy() && !sources_.in_outage() && now - source_since_ < max_renewal_time;
}

store_condition
record_path::condition_of_store(instant now) const
{
  const auto confirmed = follower_.confirmed_at();
  store_condition result;
  result.failed = now < store_retry_at_;
  result.failing = result.failed && follower_.failures() >= failures_before_fallback;
  result.callable = now >= follower_.next_wakeup();
  result.has_list = follower_.position() != store_position{};
  result.relisting = follower_.relists_from_store();
  result.urgent = !confirmed && callers_wait_;
  result.overdue = confirmed && now - *confirmed >= settings_.max_followed_record_age;
  return result;
}

/// False if no call is to be made yet.
bool
record_path::choose_source(instant now)
{
  members_awaited_until_.reset();
  // In a large domain too many lists would share the store's link, and a peer's list is smaller.
  if (follower_.listing_in_progress() && !sources_.domain_is_large(now)) {
    return true;
  }
  const record_source source = sources_.choose(condition_of_store(now), now);
  if (const auto* awaited = std::get_if<await_members>(&source)) {
    members_awaited_until_ = awaited->until;
    return false;
  }
  const auto* read = std::get_if<read_store>(&source);
  reads_overdue_ = read != nullptr && read->overdue;
  const auto* followed = std::get_if<follow_member>(&source);
  tolerance_ = followed != nullptr ? followed->tolerance : age_tolerance::usual;
  std::optional<fleet_member> wanted = followed != nullptr ? std::optional(followed->member) : std::nullopt;
  if (wanted == peer_) {
    return true;
  }
  source_since_ = now;
  follower_.on_source_changed();
  received_observation_ = 0;
  received_loads_ = 0;
  write_log(log_level::info,
            "records",
            "source=" + (wanted ? wanted->id : std::string("store")) + " position=" + to_string(follower_.position()));
  if (wanted && (!peer_ || wanted->call_address != peer_->call_address)) {
    peer_exchange_ = http_exchange(wanted->call_address, platform::max_response_bytes);
  }
  peer_ = std::move(wanted);
  return true;
}

record_sender
record_path::receiver() const
{
  if (!peer_) {
    return record_sender::store;
  }
  return peer_->domain == domain_ ? record_sender::own_domain : record_sender::other_domain;
}

void
record_path::start_call(instant now)
{
  if (!choose_source(now)) {
    return;
  }
  const auto planned = follower_.next_call(receiver(), tolerance_ == age_tolerance::unlimited, now);
  if (!planned) {
    return;
  }
  call_ = planned->call;
  call_started_ = now;
  call_deadline_ = now + planned->timeout;
  if (peer_) {
    ++counters_.peer_calls;
    call_deadline_ =
      std::min(call_deadline_,
               latest_peer_response(settings_, tolerance_, follower_.confirmed_at(), now < store_retry_at_, now));
    exchange().get(peer_pages::request_target(
                     call_, { received_observation_, max_accepted_age(settings_, tolerance_), received_loads_ }),
                   call_deadline_);
    return;
  }
  if (reads_overdue_) {
    ++counters_.overdue_reads;
    call_deadline_ = std::min(call_deadline_, now + settings_.overdue_read_timeout);
  }
  ++(std::holds_alternative<list_call>(call_) ? counters_.store_lists : counters_.store_watches);
  exchange().get(platform::request_target(call_), call_deadline_);
}

record_response
record_path::read_response(const http_answer& response)
{
  if (peer_) {
    return peer_pages::read_response(call_, response);
  }
  error why;
  const std::uint64_t era = platform::read_era(response.header, follower_.era(), why);
  if (why.kind != error_kind::none) {
    ++counters_.unusable_eras[why.kind];
    write_log(log_level::warning,
              "store",
              "unusable era position=" + to_string(follower_.position()) + " reason=\"" + why.message + "\"");
  }
  return platform::read_response(call_, response.status, response.body, era);
}

void
record_path::on_peer_failure(const std::string& problem, instant now)
{
  ++counters_.peer_failures;
  write_log(log_level::warning, "records", "left source=" + peer_->id + " reason=\"" + problem + "\"");
  sources_.on_failure(peer_->id, now);
  follower_.on_peer_failure();
}

void
record_path::on_old_records(milliseconds records_age, instant now)
{
  if (sources_.in_outage()) {
    return;
  }
  ++counters_.peer_failures;
  write_log(log_level::warning,
            "records",
            "left source=" + peer_->id + " reason=\"records are " + std::to_string(records_age.count()) + " ms old\"");
  sources_.on_old_records(peer_->id, now < store_retry_at_, now);
  if (sources_.in_outage()) {
    write_log(log_level::warning, "records", "all sources have old records, assumes an outage of the store");
  }
}

/// A source that has not heard of the era yet is left like one with old records.
void
record_path::on_lower_era(const std::string& problem, instant now)
{
  ++counters_.peer_failures;
  write_log(log_level::warning, "records", "left source=" + peer_->id + " reason=\"" + problem + "\"");
  sources_.on_old_records(peer_->id, now < store_retry_at_, now);
  follower_.on_peer_failure();
}

void
record_path::on_response(record_response response, instant now)
{
  if (follower_.is_of_lower_era(response)) {
    ++counters_.lower_era_responses;
    const std::string problem = "its records are of a lower era than era=" + std::to_string(follower_.era());
    if (peer_) {
      on_lower_era(problem, now);
      return;
    }
    follower_.avoid_old_pages();
    response = call_failed{ { error_kind::stale, problem } };
  }
  if (!peer_ && follower_.answers_earlier_call(response)) {
    response = call_failed{ { error_kind::stale, "the response belongs to an earlier call" } };
  }
  const auto* failed = std::get_if<call_failed>(&response);
  if (peer_ && failed != nullptr) {
    peer_exchange_.disconnect();
    on_peer_failure(failed->why.message, now);
    return;
  }
  if (peer_ && follower_.goes_back(response)) {
    on_peer_failure("its list is older than the known records", now);
    return;
  }
  std::string problem;
  if (failed != nullptr) {
    store_exchange_.disconnect(); // A connection that is off by one answer would stay so.
    ++counters_.store_failures;
    store_retry_at_ = now + store_retry;
    problem = failed->why.message;
  }
  if (!peer_ && std::holds_alternative<record_page>(response)) {
    list_seconds_.observe(now - call_started_);
  }
  if (std::holds_alternative<history_unavailable>(response)) {
    write_log(
      log_level::info, "records", "history forgotten, lists all records position=" + to_string(follower_.position()));
  }
  // Before the records are confirmed: a target is judged only if reports up to that time would have arrived.
  if (const observation_list* received = observations_of(response); received != nullptr && peer_) {
    received_observation_ = received->newest;
    observations_.on_received(received->observations, observation_board::origin::source, now);
  }
  if (const auto* events = std::get_if<record_events>(&response); events != nullptr && peer_ && events->loads) {
    received_loads_ = events->loads->number;
    loads_.on_totals(*events->loads, now);
  }
  const auto confirmed = follower_.confirmed_at();
  const store_position known = follower_.position();
  const auto progress = follower_.on_response(std::move(response), now);
  if (follower_.failures() >= failures_before_fallback) {
    engine_.on_confirmation_unavailable();
  }
  if (follower_.confirmed_at() && (!confirmed || *follower_.confirmed_at() - *confirmed >= min_renewal_interval)) {
    renewed_at_ = now;
  }
  if (progress.lost) {
    write_log(
      log_level::warning, "store", "lost position=" + to_string(follower_.position()) + " reason=\"" + problem + "\"");
  }
  if (progress.regained) {
    write_log(log_level::info, "store", "regained position=" + to_string(follower_.position()));
  }
  if (progress.outage) {
    on_assumed_outage(*progress.outage, now);
  }
  if (progress.relists_for_era) {
    write_log(log_level::info,
              "records",
              "era=" + std::to_string(*progress.relists_for_era) + " position=" + to_string(known) +
                " lists all records, the store has come back from an older copy");
  }
  if (progress.era_entered) {
    ++counters_.era_lists;
    write_log(log_level::info,
              "records",
              "era=" + std::to_string(progress.snapshot_complete->era) +
                " position=" + to_string(*progress.snapshot_complete) + " previous=" + to_string(known));
  }
  apply(progress, now);
  if (failed != nullptr) {
    return;
  }
  const auto records_age = age(now);
  if (!peer_) {
    if (records_age && records_age->records <= settings_.max_peer_record_age) {
      sources_.on_store_success(now);
    }
    return;
  }
  const milliseconds limit =
    tolerance_ == age_tolerance::unlimited ? settings_.max_peer_record_age : max_accepted_age(settings_, tolerance_);
  if (records_age && records_age->records > limit) {
    on_old_records(records_age->records, now);
  } else {
    sources_.on_success(peer_->id, now);
  }
}

void
record_path::on_assumed_outage(const assumed_outage& outage, instant now)
{
  ++counters_.assumed_outages.at(static_cast<std::size_t>(outage.sign));
  write_log(log_level::warning,
            "records",
            std::string("outage of the store assumed reason=") + to_string(outage.sign) +
              " unserved_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(now - outage.since).count()) +
              " grace_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(outage.grace_end - now).count()) +
              " source=" + (peer_ ? peer_->id : std::string("store")) + " position=" + to_string(follower_.position()));
}

void
record_path::apply(const record_follower::progress& progress, instant now)
{
  if (progress.snapshot_begins) {
    engine_.on_snapshot_begin();
    cache_.begin_snapshot();
  }
  for (const record_change& change : progress.changes) {
    ++counters_.changes;
    cache_.apply(change);
    engine_.on_record(change, follower_.outage_grace_end(), now);
  }
  if (progress.snapshot_complete) {
    cache_.end_snapshot(*progress.snapshot_complete, follower_.outage_grace_end());
    engine_.on_snapshot_complete(*progress.snapshot_complete, follower_.outage_grace_end(), now);
  }
  if (follower_.confirmed_at()) {
    cache_.advance(follower_.position());
    cache_.expire(*follower_.confirmed_at(), follower_.outage_grace_end());
    engine_.on_confirmed(*follower_.confirmed_at(), follower_.outage_grace_end());
  }
}

}
