#pragma once

#include "carried/time_histogram.h"

#include "coltsfootlock/coordination/steering/record_follower.h"
#include "coltsfootlock/coordination/steering/steering_engine.h"
#include "coltsfootlock/transport/http_exchange.h"

#include <optional>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

struct record_counters
{
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t changes = 0;

  auto operator<=>(const record_counters&) const = default;
};

/// Carries out the calls to the platform's store that the follower plans, and hands their results to the engine.
class record_path
{
public:
  record_path(const endpoint& store, const follower_settings& settings, std::uint32_t seed, steering_engine& engine);

  void add_descriptor(std::vector<pollfd>& wanted) const;

  /// Starts a due call and handles an answer or a timeout. `ready`: the descriptor is ready.
  void advance(bool ready, instant now);

  /// When `advance` has work without a ready descriptor.
  instant wakes_at() const;

  /// Another address of the store takes effect with the next call.
  void set_store(const endpoint& store);

  std::optional<instant> confirmed_at() const { return follower_.confirmed_at(); }
  std::uint64_t revision() const { return follower_.revision(); }
  bool in_touch() const { return follower_.in_touch(); }
  const record_counters& counters() const { return counters_; }
  const time_histogram& list_seconds() const { return list_seconds_; }

private:
  void start_call(instant now);
  void on_answer(record_answer answer, instant now);

  endpoint store_;
  http_exchange exchange_;
  record_follower follower_;
  steering_engine& engine_;
  record_call call_;
  instant call_started_;
  instant call_deadline_;
  record_counters counters_;
  time_histogram list_seconds_;
};

}
