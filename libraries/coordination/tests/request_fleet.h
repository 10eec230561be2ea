#pragma once

#include "fake_target.h"
#include "fleet_node.h"

#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace coltsfootlock {

/// Simulates routers, targets and callers on a network, driven by one seed. Each violated guarantee is added to
/// `violations`.
class request_fleet
{
public:
  /// Without `faults` no packet is lost, no daemon is cut off or restarted, and so each attempt must get an outcome.
  request_fleet(std::uint64_t seed, bool faults);

  void run(std::size_t steps);

  /// Ends all network faults and waits until no request is in progress.
  void quiesce();

  std::vector<std::string> violations;
  std::map<std::string, std::uint64_t> event_counts; ///< Number of events by kind.

private:
  struct list
  {
    std::map<std::string, std::vector<vm_id>> entries;
    std::set<std::string> out;
  };
  struct sent_request
  {
    request_packet packet;
    instant first_sent{};
  };
  using attempt = std::tuple<std::uint64_t, std::uint32_t>;

  // Network and time.
  void post(duration delay, std::function<void()> work);
  void advance(duration time);
  void link(duration min_delay, duration max_delay, const std::function<void()>& deliver);
  bool connected(const fleet_node& left, const fleet_node& right) const;
  duration random_time(duration low, duration high);
  bool chance(double probability);
  template<typename Container>
  auto& any_of(Container& values)
  {
    return *std::next(values.begin(), static_cast<std::ptrdiff_t>(random_() % values.size()));
  }

  // Daemons.
  void start_node(fleet_node& node, bool first);
  void with_node(const vm_id& id, const std::function<void(fleet_node&, std::vector<traffic_action>&)>& work);
  void heartbeat_round(const vm_id& id);
  void adopt(fleet_node& node);
  void settle(fleet_node& node);
  void publish(fleet_node& node, std::vector<traffic_action>& actions);
  instant authority_until(const fleet_node& node) const;
  instant key_authority_until(const fleet_node& node) const;
  entry_set current_set(const fleet_node& node) const;
  void execute(fleet_node& node, const std::vector<traffic_action>& actions);
  void deliver_to_peer(const vm_id& from, const send_to_peer& action);
  void apply_report(fleet_node& node, const report_target& action);

  // Targets.
  void packet_at_target(const vm_id& daemon, fake_target& target, const packet& value);
  void start_run(const vm_id& daemon, fake_target& target, const request_packet& value);
  void finish_run(const vm_id& daemon, const vm_id& target, std::uint64_t run, std::uint64_t incarnation);
  void from_target(const vm_id& daemon, const fake_target& target, packet value);

  // Callers.
  void send_request(const request_packet& value);
  void new_request();
  void repeat_request();
  void cancel_request();
  void packet_at_caller(const packet& value);
  void answer_at_caller(const answer_packet& value);

  // Faults.
  void change_list();
  void inject_fault();

  void violation(const std::string& text);

  std::mt19937_64 random_;
  bool faults_;
  instant now_{ seconds(1000) };
  std::multimap<instant, std::function<void()>> events_;
  timing times_;
  std::shared_ptr<catalogue> catalogue_;
  std::shared_ptr<vm_list> vms_;
  std::vector<list> lists_;
  std::map<vm_id, fleet_node> nodes_;
  std::map<vm_id, fake_target> targets_;
  std::set<vm_id> isolated_;
  std::set<std::string> cut_domains_; ///< Cut off from all other domains.

  std::vector<sent_request> sent_requests_;
  std::map<std::string, int> runs_of_key_;
  std::set<std::string> keys_refused_as_not_run_; ///< Keys refused as not run.
  std::map<attempt, int> deliveries_;
  std::map<attempt, int> outcomes_;
  std::vector<std::string> partial_answer_;
};

}
