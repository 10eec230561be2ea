#include "figure.h"
#include "figures.h"

#include "flow_fleet.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace coltsfootlock::benchmark {

namespace {

using testing::fleet_options;
using testing::flow_fleet;

constexpr std::uint16_t flow_count = 2000;
constexpr int tries = 10; // A caller sends its packet again this often, as TCP would.

void
open_flows(flow_fleet& fleet, std::uint16_t count)
{
  for (std::uint16_t number = 1; number <= count; ++number) {
    fleet.send_anywhere(open_packet{ fleet.flow(number) });
    if (number % 20 == 0) {
      fleet.run_for(milliseconds(10));
    }
  }
  fleet.run_for(seconds(1));
}

// Sends on every flow until it answers; returns the number that never did, were reset, or changed their target.
double
broken_flows(flow_fleet& fleet, std::uint16_t count, const std::map<flow_key, vm_id>& targets)
{
  std::map<flow_key, std::uint64_t> answers;
  for (std::uint16_t number = 1; number <= count; ++number) {
    answers[fleet.flow(number)] = fleet.callers[fleet.flow(number)].answers;
  }
  for (int attempt = 0; attempt < tries; ++attempt) {
    for (const auto& [key, before] : answers) {
      const auto& caller = fleet.callers[key];
      if (caller.answers == before && caller.resets.empty()) {
        fleet.send_anywhere(data_packet{ key, true, {}, "payload" });
      }
    }
    fleet.run_for(milliseconds(300));
  }
  double broken = 0;
  for (const auto& [key, before] : answers) {
    const auto& caller = fleet.callers[key];
    const auto* target = fleet.target_of(key);
    const bool same = target != nullptr && target->vm.id == targets.at(key);
    broken += caller.answers > before && caller.resets.empty() && same ? 0 : 1;
  }
  return broken;
}

std::map<flow_key, vm_id>
targets_of_flows(flow_fleet& fleet, std::uint16_t count)
{
  std::map<flow_key, vm_id> result;
  for (std::uint16_t number = 1; number <= count; ++number) {
    const auto* target = fleet.target_of(fleet.flow(number));
    result[fleet.flow(number)] = target == nullptr ? vm_id{} : target->vm.id;
  }
  return result;
}

std::vector<std::string>
names_of_targets(const vm_list& list)
{
  std::vector<std::string> names;
  for (const target_vm& vm : list.targets) {
    if (vm.target_group == "main" && !vm.leaving) {
      names.push_back(vm.id);
    }
  }
  return names;
}

// Flows that a stateless rendezvous choice over the targets would move.
double
moved_by_plain_hashing(const flow_fleet& fleet, const vm_list& before, const vm_list& after)
{
  const auto old_names = names_of_targets(before);
  const auto new_names = names_of_targets(after);
  double moved = 0;
  for (std::uint16_t number = 1; number <= flow_count; ++number) {
    const std::uint64_t hash = hash_of(fleet.flow(number));
    moved += rendezvous_order(hash, old_names).front() == rendezvous_order(hash, new_names).front() ? 0 : 1;
  }
  return moved;
}

void
drain_two_targets(flow_fleet& fleet)
{
  vm_list next = *fleet.vms;
  ++next.version;
  int marked = 0;
  for (target_vm& vm : next.targets) {
    if (vm.target_group == "main" && marked < 2) {
      vm.leaving = true;
      ++marked;
    }
  }
  fleet.publish(next);
}

void
restart_each_daemon(flow_fleet& fleet)
{
  for (std::size_t index = 0; index < fleet.daemons.size(); ++index) {
    const vm_id id = fleet.daemons[index].id;
    fleet.restart(id);
    fleet.run_for(seconds(8));
  }
}

int
measure_change(const std::string& name, std::uint64_t seed, const std::function<void(flow_fleet&)>& change)
{
  fleet_options options;
  options.seed = seed;
  options.targets = 5;
  flow_fleet fleet(options);
  open_flows(fleet, flow_count);
  const auto targets = targets_of_flows(fleet, flow_count);
  const vm_list before = *fleet.vms;
  change(fleet);
  fleet.run_for(seconds(5));
  const double moved = moved_by_plain_hashing(fleet, before, *fleet.vms);
  const double broken = broken_flows(fleet, flow_count, targets);
  return print({ "broken_flows_of_2000_" + name, broken, "flows", moved, "plain hashing", 0.0, {} }) ? 0 : 1;
}

double
maximum_over_mean(const std::vector<double>& values)
{
  double sum = 0;
  double most = 0;
  for (const double value : values) {
    sum += value;
    most = std::max(most, value);
  }
  return most * static_cast<double>(values.size()) / sum;
}

// Open connections per target at half load: 15 targets with 400 connections each, 3,000 flows.
int
measure_imbalance(std::uint64_t seed)
{
  fleet_options options;
  options.seed = seed;
  options.targets = 5;
  options.connections = 400;
  constexpr std::uint16_t half_load = 3000;
  flow_fleet fleet(options);
  open_flows(fleet, half_load);
  std::map<vm_id, double> plain;
  std::vector<double> open;
  const auto names = names_of_targets(*fleet.vms);
  for (const std::string& name : names) {
    plain[name] = 0;
    open.push_back(static_cast<double>(fleet.targets[name].flows.size()));
  }
  for (std::uint16_t number = 1; number <= half_load; ++number) {
    ++plain[rendezvous_order(hash_of(fleet.flow(number)), names).front()];
  }
  std::vector<double> hashed;
  hashed.reserve(plain.size());
  for (const auto& [name, count] : plain) {
    hashed.push_back(count);
  }
  return print({ "imbalance_of_open_connections_at_half_load",
                 maximum_over_mean(open),
                 "max/mean",
                 maximum_over_mean(hashed),
                 "plain hashing",
                 1.10,
                 {} })
           ? 0
           : 1;
}

}

int
measure_flows(std::uint64_t seed)
{
  int missed = 0;
  missed += measure_change("after_a_change_of_targets", seed, drain_two_targets);
  missed += measure_change("after_a_rolling_restart_of_balancers", seed, restart_each_daemon);
  missed += measure_change("after_both_at_once", seed, [](flow_fleet& fleet) {
    drain_two_targets(fleet);
    restart_each_daemon(fleet);
  });
  missed += measure_change(
    "after_the_sudden_loss_of_one_balancer", seed, [](flow_fleet& fleet) { fleet.kill(fleet.daemons.front().id); });
  missed += measure_imbalance(seed);
  return missed;
}

}
