#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "coltsfootlock/coordination/timing.h"
#include "coltsfootlock/coordination/traffic_action.h"
#include "coltsfootlock/coordination/traffic_engine.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Routes the packets of flows (open, opened, data, close, reset). Part of the traffic engine, which owns the counters.
class flow_router
{
public:
  flow_router(timing times, traffic_counters& counters);
  ~flow_router();
  flow_router(flow_router&&) noexcept;

  void set_view(std::shared_ptr<const routing_view> view, instant now, std::vector<traffic_action>& actions);
  void on_caller_packet(const packet& value, instant now, std::vector<traffic_action>& actions);
  void on_forwarded(const vm_id& from,
                    const forwarded_packet& value,
                    instant now,
                    std::vector<traffic_action>& actions);
  void on_hints(const vm_id& from, const route_hints& value, instant now, std::vector<traffic_action>& actions);
  void on_target_packet(const vm_id& from, const packet& value, instant now, std::vector<traffic_action>& actions);
  void tick(instant now, std::vector<traffic_action>& actions);

  std::vector<flow_record> records_for(const vm_id& peer,
                                       std::size_t cursor,
                                       std::size_t limit,
                                       std::size_t& next) const;
  void adopt(const std::vector<flow_record>& records, instant now);

  /// Number of flows that use this daemon's share of the target.
  std::uint32_t open_flows(const vm_id& target) const;
  std::uint32_t connection_share(const vm_id& target, instant now) const;
  std::string explain(const flow_key& flow, instant now) const;

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}
