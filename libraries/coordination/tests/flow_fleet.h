#pragma once

#include "coltsfootlock/coordination/flow_router.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace coltsfootlock::testing {

/// Size of the fleet and quality of its links.
struct fleet_options
{
  std::uint64_t seed = 1;
  std::size_t domains = 3;
  std::size_t daemons = 3; ///< Per domain.
  std::size_t targets = 2; ///< Per domain and group.
  std::uint32_t connections = 1000;
  double loss = 0;
  double duplicates = 0;
  milliseconds jitter{ 0 };           ///< Must exceed the delay for packets to be reordered.
  milliseconds max_update_delay{ 0 }; ///< Until the last daemon receives a change.
  timing times;
};

/// Several routers, targets and callers on a simulated clock and a link that delays, loses, duplicates and reorders.
class flow_fleet
{
public:
  struct daemon
  {
    vm_id id;
    std::string domain;
    bool up = true;
    bool starting = false;
    instant spend_from{};
    bool authority = true;
    std::shared_ptr<const catalogue> services;
    std::shared_ptr<const vm_list> vms;
    std::set<vm_id> suspected_peers; ///< Peers that this daemon considers dead.
    std::shared_ptr<const routing_view> view;
    std::unique_ptr<traffic_counters> counters;
    std::unique_ptr<flow_router> router;
  };
  struct target
  {
    target_vm vm;
    bool up = true;
    bool unresponsive = false; ///< Receives but never answers.
    std::set<flow_key> flows;
    std::set<flow_key> seen; ///< Flows of which any packet arrived.
    std::vector<std::uint8_t> paths;
    std::uint64_t packets = 0;
  };
  struct caller_flow
  {
    bool opened = false;
    bool closed = false;
    bool exempt = false; ///< Its target or its domain was removed, so no guarantee applies any more.
    std::uint64_t answers = 0;
    std::vector<reset_reason> resets;
    instant next{};
  };
  /// Called for each message between daemons; returns false to drop it.
  using peer_filter = std::function<bool(const daemon& from, const vm_id& to, const peer_message& message)>;

  explicit flow_fleet(fleet_options options);

  flow_key flow(std::uint16_t number, bool second_service = false) const;
  void send(const packet& content, const vm_id& entry);
  void send_anywhere(const packet& content);
  void open(const flow_key& key, const vm_id& entry) { send(open_packet{ key }, entry); }
  void data(const flow_key& key, const vm_id& entry) { send(data_packet{ key, true, {}, "payload" }, entry); }
  void run_for(milliseconds time);

  void kill(const vm_id& id);
  void restart(const vm_id& id);
  void set_partitioned(const std::string& one, const std::string& other, bool partitioned);
  void publish(catalogue next);
  void publish(vm_list next);
  void publish_now(daemon& to);
  void set_in_service(const std::string& domain, bool in_service);
  void refresh(daemon& to);

  /// The target at which the flow is open; null if there is none.
  target* target_of(const flow_key& key);
  std::size_t targets_that_saw(const flow_key& key) const;

  /// The `rank`th daemon for the flow in the domain, computed from the daemons that are actually up.
  daemon& ranked(const flow_key& key, const std::string& domain, std::size_t rank);
  std::string home_domain(const flow_key& key) const;
  daemon& by_id(const vm_id& id);
  std::uint64_t total(std::uint64_t traffic_counters::*counter) const;
  std::uint64_t random(std::uint64_t limit);

  instant now{ std::chrono::hours(1) };
  std::vector<daemon> daemons;
  std::map<vm_id, target> targets;
  std::map<flow_key, caller_flow> callers;
  std::shared_ptr<const catalogue> services;
  std::shared_ptr<const vm_list> vms;
  peer_filter filter;
  fleet_options options;

private:
  struct event
  {
    instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void after(duration delay, std::function<void()> run);
  void send_over_link(const std::string& from, const std::string& to, const std::function<void()>& run);
  bool is_partitioned(const std::string& one, const std::string& other) const;
  void execute_actions(daemon& from, const std::vector<traffic_action>& actions);
  void execute_action(daemon& from, const traffic_action& action);
  void arrive_at_target(target& receiver, daemon& from, const packet& content);
  void arrive_at_caller(const packet& content);
  void publish_to_all();
  void update_liveness(const vm_id& of);
  void pull_records(daemon& puller);
  std::shared_ptr<const routing_view> view_for(const daemon& to) const;

  std::mt19937_64 generator_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::set<std::pair<std::string, std::string>> partitions_;
  instant next_tick_{};
};

}
