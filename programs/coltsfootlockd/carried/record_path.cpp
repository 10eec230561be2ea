#include "carried/record_path.h"

#include "coltsfootlock/transport/log.h"
#include "platform/store_api.h"

#include <algorithm>
#include <string>
#include <utility>

namespace coltsfootlock {

namespace {

/// From a store that is near to one that is hundreds of times slower.
const std::vector<double> call_seconds = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5 };

}

record_path::record_path(const endpoint& store,
                         const follower_settings& settings,
                         std::uint32_t seed,
                         steering_engine& engine)
  : store_(store)
  , exchange_(store, platform::longest_answer_bytes)
  , follower_(settings, seed)
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
  const bool busy = exchange_.busy();
  store_ = store;
  exchange_ = http_exchange(store, platform::longest_answer_bytes);
  if (busy) {
    follower_.on_answer(call_failed{ { error_kind::stale, "the address of the store has changed" } }, call_started_);
  }
}

void
record_path::add_descriptor(std::vector<pollfd>& wanted) const
{
  wanted.push_back({ exchange_.descriptor(), exchange_.events(), 0 });
}

instant
record_path::wakes_at() const
{
  return exchange_.busy() ? call_deadline_ : follower_.wakes_at();
}

void
record_path::advance(bool ready, instant now)
{
  if (ready || (exchange_.busy() && now >= call_deadline_)) {
    if (auto result = exchange_.advance(now)) {
      if (const auto* answer = std::get_if<http_answer>(&*result)) {
        on_answer(platform::read_answer(call_, answer->status, answer->body), now);
      } else {
        on_answer(call_failed{ std::get<error>(std::move(*result)) }, now);
      }
    }
  }
  if (!exchange_.busy()) {
    start_call(now);
  }
}

void
record_path::start_call(instant now)
{
  const auto planned = follower_.next_call(now);
  if (!planned) {
    return;
  }
  call_ = planned->call;
  call_started_ = now;
  call_deadline_ = now + planned->timeout;
  ++(std::holds_alternative<list_call>(call_) ? counters_.lists : counters_.watches);
  exchange_.get(platform::request_target(call_), call_deadline_);
}

void
record_path::on_answer(record_answer answer, instant now)
{
  if (std::holds_alternative<record_page>(answer)) {
    list_seconds_.observe(now - call_started_);
  }
  std::string problem;
  if (const auto* failed = std::get_if<call_failed>(&answer)) {
    ++counters_.failures;
    problem = failed->why.message;
  } else if (std::holds_alternative<history_forgotten>(answer)) {
    write_log(log_level::info, "store", "forgot its history; lists all records revision=" + std::to_string(revision()));
  }
  const auto progress = follower_.on_answer(std::move(answer), now);
  if (progress.lost) {
    write_log(
      log_level::warning, "store", "lost revision=" + std::to_string(revision()) + " reason=\"" + problem + "\"");
  }
  if (progress.regained) {
    write_log(log_level::info, "store", "regained revision=" + std::to_string(revision()));
  }
  if (progress.snapshot_begins) {
    engine_.on_snapshot_begin();
  }
  for (const record_change& change : progress.changes) {
    ++counters_.changes;
    engine_.on_record(change, follower_.settles_at(), now);
  }
  if (progress.snapshot_complete) {
    engine_.on_snapshot_complete(*progress.snapshot_complete, follower_.settles_at(), now);
  }
  if (follower_.confirmed_at()) {
    engine_.on_confirmed(*follower_.confirmed_at());
  }
}

}
