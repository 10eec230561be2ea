#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "coltsfootlock/coordination/timing.h"
#include "coltsfootlock/coordination/traffic_action.h"
#include "coltsfootlock/coordination/traffic_engine.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Admits, queues, dispatches and answers requests; handles request, cancel, answer and refusal packets. Part of the
/// traffic engine, which owns the counters.
class request_router
{
public:
  request_router(timing times, std::uint64_t seed, traffic_counters& counters);
  ~request_router();
  request_router(request_router&&) noexcept;

  void set_view(std::shared_ptr<const routing_view> view, instant now, std::vector<traffic_action>& actions);
  void on_caller_packet(const packet& value, instant now, std::vector<traffic_action>& actions);
  void on_forwarded(const vm_id& from,
                    const forwarded_packet& value,
                    instant now,
                    std::vector<traffic_action>& actions);
  void on_target_packet(const vm_id& from, const packet& value, instant now, std::vector<traffic_action>& actions);
  void tick(instant now, std::vector<traffic_action>& actions);

  void begin_leaving(instant now, std::vector<traffic_action>& actions);
  bool finished() const;

  std::vector<group_capacity> capacity(instant now) const;

  /// Fills in the slot and limit fields of each target.
  void add_use(std::vector<target_use>& use, instant now) const;
  std::string explain(const flow_key& flow, const std::string& idempotency_key, instant now) const;

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}
