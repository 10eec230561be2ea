#include "carried/record_path.h"

#include "carried/peer_pages.h"

#include "coltsfootlock/protocol/relay_codec.h"
#include "coltsfootlock/transport/log.h"
#include "platform/store_api.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

/// Bucket bounds from the latency of a nearby store to that of one hundreds of times slower.
const std::vector<double> call_seconds = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5 };

std::int64_t
milliseconds_of(duration time)
{
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}

record_path::record_path(const endpoint& store,
                         const follower_settings& settings,
                         std::uint32_t seed,
                         source_choice& sources,
                         steering_engine& engine)
  : settings_(settings)
  , store_(store)
  , store_exchange_(store, platform::max_response_bytes)
  , peer_exchange_(store, platform::max_response_bytes)
  , follower_(settings, seed)
  , sources_(sources)
  , engine_(engine)
  , list_seconds_(call_seconds)
{
}

void
record_path::set_store(const endpoint& store)
{
  if (store == store_) {
    return;
  }
  const bool interrupted = !peer_ && store_exchange_.busy();
  store_ = store;
  store_exchange_ = http_exchange(store, platform::max_response_bytes);
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
  return exchange().busy() ? call_deadline_ : follower_.next_wakeup();
}

std::optional<response_age>
record_path::age(instant now) const
{
  if (!follower_.confirmed_at()) {
    return std::nullopt;
  }
  return response_age{ std::chrono::ceil<milliseconds>(now - *follower_.confirmed_at()),
                       std::max(std::chrono::ceil<milliseconds>(follower_.outage_grace_end() - now), milliseconds(0)) };
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

void
record_path::choose_source(instant now)
{
  // In a large domain too many lists would share the store's link, and a peer's list is smaller.
  if (follower_.listing_in_progress() && !sources_.domain_is_large(now)) {
    return;
  }
  auto wanted = sources_.peer(now);
  if (!wanted && follower_.failures() >= failures_before_fallback && now < store_retry_at_) {
    wanted = sources_.fallback(now);
  }
  if (wanted == peer_) {
    return;
  }
  write_log(log_level::info,
            "records",
            "source=" + (wanted ? wanted->id : std::string("store")) +
              " revision=" + std::to_string(follower_.revision()));
  if (wanted && (!peer_ || wanted->call_address != peer_->call_address)) {
    peer_exchange_ = http_exchange(wanted->call_address, platform::max_response_bytes);
  }
  peer_ = std::move(wanted);
}

void
record_path::start_call(instant now)
{
  choose_source(now);
  const auto planned = follower_.next_call(peer_.has_value(), now);
  if (!planned) {
    return;
  }
  call_ = planned->call;
  call_started_ = now;
  call_deadline_ = now + planned->timeout;
  if (peer_) {
    ++counters_.peer_calls;
    exchange().get(peer_pages::request_target(call_), call_deadline_);
    return;
  }
  ++(std::holds_alternative<list_call>(call_) ? counters_.store_lists : counters_.store_watches);
  exchange().get(platform::request_target(call_), call_deadline_);
}

record_response
record_path::read_response(const http_answer& response) const
{
  return peer_ ? peer_pages::read_response(call_, response)
               : platform::read_response(call_, response.status, response.body);
}

void
record_path::on_peer_problem(const std::string& problem, instant now)
{
  ++counters_.peer_failures;
  write_log(log_level::warning, "records", "left source=" + peer_->id + " reason=\"" + problem + "\"");
  sources_.on_failure(peer_->id, now);
}

void
record_path::on_response(record_response response, instant now)
{
  const auto* failed = std::get_if<call_failed>(&response);
  if (peer_ && failed != nullptr) {
    on_peer_problem(failed->why.message, now);
    follower_.on_peer_failure();
    return;
  }
  std::string problem;
  if (failed != nullptr) {
    ++counters_.store_failures;
    store_retry_at_ = now + store_retry;
    problem = failed->why.message;
  }
  if (!peer_ && std::holds_alternative<record_page>(response)) {
    list_seconds_.observe(now - call_started_);
  }
  if (std::holds_alternative<history_unavailable>(response)) {
    write_log(log_level::info,
              "records",
              "history forgotten, lists all records revision=" + std::to_string(follower_.revision()));
  }
  const auto confirmed = follower_.confirmed_at();
  const auto progress = follower_.on_response(std::move(response), now);
  if (follower_.confirmed_at() && (!confirmed || *follower_.confirmed_at() - *confirmed >= min_renewal_interval)) {
    renewed_at_ = now;
  }
  if (progress.lost) {
    write_log(log_level::warning,
              "store",
              "lost revision=" + std::to_string(follower_.revision()) + " reason=\"" + problem + "\"");
  }
  if (progress.regained) {
    write_log(log_level::info, "store", "regained revision=" + std::to_string(follower_.revision()));
  }
  apply(progress, now);
  if (!peer_ || failed != nullptr) {
    return;
  }
  const auto records_age = age(now);
  if (records_age && records_age->records > settings_.max_peer_record_age) {
    on_peer_problem("records are " + std::to_string(milliseconds_of(records_age->records)) + " ms old", now);
  } else {
    sources_.on_success(peer_->id);
  }
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
    cache_.end_snapshot(*progress.snapshot_complete);
    engine_.on_snapshot_complete(*progress.snapshot_complete, follower_.outage_grace_end(), now);
  }
  if (follower_.confirmed_at()) {
    cache_.advance(follower_.revision());
    engine_.on_confirmed(*follower_.confirmed_at(), follower_.outage_grace_end());
  }
}

}
