#include "coltsfootlock/coordination/invariant.h"
#include "flow_fleet.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;
using namespace coltsfootlock::testing;

namespace {

struct strict_invariants
{
  strict_invariants() { abort_on_invariant_failure(true); }
};

/// A fleet that has finished its start-up, with one open flow.
struct open_flow
{
  explicit open_flow(fleet_options options = {})
    : fleet(options)
    , key(fleet.flow(7))
  {
    fleet.run_for(seconds(12));
    fleet.open(key, "c-entry-2");
    fleet.run_for(seconds(3));
    domain = fleet.home_domain(key);
    BOOST_REQUIRE(fleet.callers[key].opened);
  }

  flow_fleet::daemon& home() { return fleet.ranked(key, domain, 0); }
  flow_fleet::daemon& deputy() { return fleet.ranked(key, domain, 1); }
  const vm_id& entry_in_other_domain() const
  {
    return std::find_if(fleet.daemons.begin(),
                        fleet.daemons.end(),
                        [this](const auto& each) { return each.domain != domain && each.up; })
      ->id;
  }

  // Sends data and returns whether exactly one answer came, no reset, and one target has seen the flow.
  bool works(const vm_id& entry)
  {
    const std::uint64_t before = fleet.callers[key].answers;
    fleet.data(key, entry);
    fleet.run_for(milliseconds(100));
    return fleet.callers[key].answers == before + 1 && fleet.callers[key].resets.empty() &&
           fleet.targets_that_saw(key) == 1;
  }

  flow_fleet fleet;
  flow_key key;
  std::string domain;
};

bool
is_forwarded(const peer_message& message, forward_purpose purpose)
{
  const auto* forwarded = std::get_if<forwarded_packet>(&message);
  return forwarded != nullptr && forwarded->purpose == purpose;
}

}

BOOST_FIXTURE_TEST_SUITE(flow_routing, strict_invariants)

// Guards against an open that reaches no target, data that reaches another target, and a close that leaves the
// connection of the target in use.
BOOST_AUTO_TEST_CASE(a_flow_is_opened_used_and_closed)
{
  flow_fleet fleet({});
  for (std::uint16_t number = 1; number <= 100; ++number) {
    const flow_key key = fleet.flow(number, number % 2 == 0);
    fleet.open(key, fleet.daemons[number % 9].id);
    fleet.run_for(milliseconds(50));
    fleet.data(key, fleet.daemons[(number * 5) % 9].id);
    fleet.run_for(milliseconds(50));
    BOOST_REQUIRE(fleet.callers[key].opened);
    BOOST_REQUIRE(fleet.callers[key].answers == 1U);
    BOOST_REQUIRE(fleet.target_of(key)->vm.domain == fleet.home_domain(key));
    fleet.send(close_packet{ key }, fleet.daemons[(number * 7) % 9].id);
    fleet.run_for(milliseconds(50));
    BOOST_REQUIRE(fleet.target_of(key) == nullptr);
  }
  for (const auto& [id, target] : fleet.targets) {
    for (const auto& daemon : fleet.daemons) {
      BOOST_TEST(daemon.router->open_flows(id) == 0U);
    }
  }
}

// Guards against copies of one open that open the flow at several targets.
BOOST_AUTO_TEST_CASE(racing_copies_open_one_flow)
{
  flow_fleet fleet({});
  for (std::uint16_t number = 1; number <= 50; ++number) {
    for (const auto& daemon : fleet.daemons) {
      fleet.open(fleet.flow(number), daemon.id);
    }
  }
  fleet.run_for(seconds(1));
  for (std::uint16_t number = 1; number <= 50; ++number) {
    BOOST_REQUIRE(fleet.targets_that_saw(fleet.flow(number)) == 1U);
  }
}

// Guards against flows that are lost with their home, with a home and later its deputy, or with a home that restarts.
BOOST_AUTO_TEST_CASE(a_flow_outlives_its_home_and_deputies)
{
  open_flow flow;
  const vm_id first_home = flow.home().id;
  flow.fleet.kill(first_home);
  flow.fleet.run_for(seconds(2));
  BOOST_TEST(flow.works(flow.entry_in_other_domain()));
  BOOST_TEST(flow.works(flow.entry_in_other_domain()));
  flow.fleet.kill(flow.home().id);
  flow.fleet.run_for(seconds(2));
  BOOST_TEST(flow.works(flow.entry_in_other_domain()));
  flow.fleet.restart(first_home);
  flow.fleet.run_for(seconds(2));
  BOOST_TEST(flow.works(flow.entry_in_other_domain()));
}

// Guards against a restarted daemon that does not restore which flows use its share, and against the share of a daemon
// that left the list staying in use for ever or being assigned twice.
BOOST_AUTO_TEST_CASE(the_account_survives_a_restart_and_moves_with_the_list)
{
  open_flow flow;
  const vm_id home = flow.home().id;
  const vm_id target = flow.fleet.target_of(flow.key)->vm.id;
  BOOST_TEST(flow.fleet.by_id(home).router->open_flows(target) == 1U);
  flow.fleet.kill(home);
  flow.fleet.restart(home);
  flow.fleet.run_for(seconds(2));
  BOOST_TEST(flow.fleet.by_id(home).router->open_flows(target) == 1U);
  flow.fleet.kill(home);
  vm_list next = *flow.fleet.vms;
  std::erase_if(next.entries, [&home](const entry_vm& vm) { return vm.id == home; });
  flow.fleet.publish(std::move(next));
  flow.fleet.run_for(seconds(2));
  BOOST_TEST(flow.home().router->open_flows(target) == 1U);
  BOOST_TEST(flow.deputy().router->open_flows(target) == 0U);
}

// Guards against a restarted daemon that does not fetch flows on its share because other daemons have become their home
// and deputy.
BOOST_AUTO_TEST_CASE(a_daemon_pulls_flows_on_its_share_that_have_other_homes)
{
  flow_fleet fleet({});
  const flow_key key = fleet.flow(7);
  const std::string domain = fleet.home_domain(key);
  const std::vector<vm_id> better{ fleet.ranked(key, domain, 0).id, fleet.ranked(key, domain, 1).id };
  const vm_id account = fleet.ranked(key, domain, 2).id;
  for (const vm_id& id : better) {
    fleet.kill(id);
  }
  fleet.run_for(seconds(12));
  fleet.open(key, account);
  fleet.run_for(seconds(1));
  for (const vm_id& id : better) {
    fleet.restart(id);
  }
  fleet.run_for(seconds(5));
  const vm_id target = fleet.target_of(key)->vm.id;
  fleet.kill(account);
  fleet.restart(account);
  fleet.run_for(seconds(1));
  BOOST_TEST(fleet.by_id(account).router->open_flows(target) == 1U);
}

// Guards against a daemon that sends every packet through the home, and against a learned route that is never
// refreshed.
BOOST_AUTO_TEST_CASE(a_hint_saves_the_way_through_the_home)
{
  open_flow flow;
  const vm_id entry = flow.entry_in_other_domain();
  BOOST_TEST(flow.works(entry));
  flow.fleet.run_for(seconds(1));
  const std::uint64_t before = flow.fleet.total(&traffic_counters::packets_to_peers);
  for (int packet = 0; packet < 10; ++packet) {
    BOOST_TEST(flow.works(entry));
  }
  BOOST_TEST(flow.fleet.total(&traffic_counters::packets_to_peers) == before);
  std::size_t through_home = 0;
  flow.fleet.filter = [&](const auto& from, const vm_id& to, const peer_message& message) {
    const bool refreshes = from.id == entry && to == flow.home().id;
    through_home += refreshes && is_forwarded(message, forward_purpose::route_at_home) ? 1U : 0U;
    return true;
  };
  flow.fleet.run_for(seconds(20));
  BOOST_TEST(flow.works(entry));
  BOOST_TEST(flow.works(entry));
  BOOST_TEST(through_home == 1U);
}

// Guards against a flow at two targets: the deputy suspected the home and opened the flow, and then the home opens it
// as well.
BOOST_AUTO_TEST_CASE(the_deputy_decides_between_two_homes)
{
  flow_fleet fleet({});
  fleet.run_for(seconds(12));
  // The counts of open flows differ between daemons, so they choose different targets.
  for (std::uint16_t number = 100; number <= 140; ++number) {
    fleet.open(fleet.flow(number), "a-entry-0");
    fleet.run_for(milliseconds(20));
  }
  for (std::uint16_t number = 1; number <= 20; ++number) {
    const flow_key key = fleet.flow(number);
    const std::string domain = fleet.home_domain(key);
    auto& deputy = fleet.ranked(key, domain, 1);
    deputy.suspected_peers.insert(fleet.ranked(key, domain, 0).id);
    fleet.run_for(milliseconds(100));
    fleet.open(key, deputy.id);
    fleet.run_for(milliseconds(100));
    BOOST_REQUIRE(fleet.targets_that_saw(key) == 1U);
    deputy.suspected_peers.clear();
    fleet.run_for(milliseconds(100));
    for (const auto& daemon : fleet.daemons) {
      fleet.open(key, daemon.id);
      fleet.run_for(milliseconds(20));
    }
    BOOST_TEST(fleet.targets_that_saw(key) == 1U);
  }
}

// Guards against flows that exceed the limit of a target, and against an open that fails although the next domain has
// capacity.
BOOST_AUTO_TEST_CASE(a_full_domain_refers_flows_within_the_limits)
{
  fleet_options options;
  options.connections = 9;
  flow_fleet fleet(options);
  fleet.run_for(seconds(12));
  for (std::uint16_t number = 1; number <= 100; ++number) {
    fleet.open(fleet.flow(number), fleet.daemons[number % 9].id);
    fleet.run_for(milliseconds(50));
  }
  std::size_t open = 0;
  std::size_t referred = 0;
  for (const auto& [id, target] : fleet.targets) {
    BOOST_TEST(target.flows.size() <= 9U);
    open += target.flows.size();
    for (const flow_key& key : target.flows) {
      referred += fleet.home_domain(key) != target.vm.domain ? 1U : 0U;
    }
  }
  BOOST_TEST(open >= 46U); // of 54 connections; the rest are shares of daemons that got no open
  BOOST_TEST(referred > 0U);
}

// Guards against a flow that is opened twice when its home domain changes and the previous home does not respond.
BOOST_AUTO_TEST_CASE(a_moved_home_asks_the_previous_one_first)
{
  open_flow flow;
  vm_list next = *flow.fleet.vms;
  for (target_vm& vm : next.targets) {
    vm.leaving = vm.domain == flow.domain; // the flow stays at its target
  }
  flow.fleet.publish(std::move(next));
  flow.fleet.run_for(milliseconds(10));
  BOOST_REQUIRE(flow.fleet.home_domain(flow.key) != flow.domain);
  std::size_t query_count = 0;
  flow.fleet.filter = [&](const auto& from, const vm_id& to, const peer_message& message) {
    const bool across = from.domain != flow.domain && flow.fleet.by_id(to).domain == flow.domain;
    query_count += across && is_forwarded(message, forward_purpose::open_check) ? 1U : 0U;
    return !across;
  };
  for (int copy = 0; copy < 5; ++copy) {
    flow.fleet.open(flow.key, flow.entry_in_other_domain());
    flow.fleet.run_for(seconds(1));
  }
  BOOST_TEST(query_count > 0U);
  BOOST_TEST(flow.fleet.targets_that_saw(flow.key) == 1U);
  flow.fleet.filter = nullptr;
  flow.fleet.open(flow.key, flow.entry_in_other_domain());
  flow.fleet.run_for(seconds(1));
  BOOST_TEST(flow.fleet.targets_that_saw(flow.key) == 1U);
  BOOST_TEST(flow.fleet.callers[flow.key].resets.empty());
}

// Guards against a reset to the caller from a daemon that only has a learned route, and against a flow that is not
// reset although its target has lost it.
BOOST_AUTO_TEST_CASE(only_home_and_deputy_pass_a_reset_on)
{
  open_flow flow;
  const vm_id entry = flow.entry_in_other_domain();
  BOOST_TEST(flow.works(entry));
  flow.fleet.run_for(seconds(1));
  flow.fleet.target_of(flow.key)->flows.clear();
  flow.fleet.filter = [](const auto&, const vm_id&, const peer_message&) { return false; };
  flow.fleet.data(flow.key, entry);
  flow.fleet.run_for(milliseconds(100));
  BOOST_TEST(flow.fleet.callers[flow.key].resets.empty());
  flow.fleet.filter = nullptr;
  flow.fleet.data(flow.key, entry);
  flow.fleet.run_for(milliseconds(100));
  BOOST_TEST(flow.fleet.callers[flow.key].resets.size() == 1U);
}

// Guards against a flow that stays on a path on which packets between daemon and target are lost.
BOOST_AUTO_TEST_CASE(a_silent_target_is_reached_by_another_path)
{
  open_flow flow;
  auto& target = *flow.fleet.target_of(flow.key);
  target.unresponsive = true;
  for (int packet = 0; packet < 4; ++packet) {
    flow.fleet.data(flow.key, flow.home().id);
    flow.fleet.run_for(milliseconds(1100));
  }
  BOOST_TEST(int{ target.paths.back() } == 1);
  BOOST_TEST(flow.home().counters->path_changes == 1U);
}

// Guards against packets to a domain that operators have taken out of service, and against callers that get no reset.
BOOST_AUTO_TEST_CASE(a_domain_that_is_out_gets_no_packets)
{
  open_flow flow;
  const vm_id entry = flow.entry_in_other_domain();
  BOOST_TEST(flow.works(entry));
  const auto& target = *flow.fleet.target_of(flow.key);
  flow.fleet.set_in_service(flow.domain, false);
  flow.fleet.run_for(milliseconds(200));
  const std::uint64_t before = target.packets;
  BOOST_TEST(!flow.fleet.callers[flow.key].resets.empty());
  for (const auto& daemon : flow.fleet.daemons) {
    flow.fleet.data(flow.key, daemon.id);
  }
  flow.fleet.run_for(seconds(1));
  BOOST_TEST(target.packets == before);
}

// Guards against a caller that waits for ever on an unknown flow, and against a reset while a daemon that may have a
// record of the flow cannot be queried.
BOOST_AUTO_TEST_CASE(an_unknown_flow_is_reset_only_after_a_complete_search)
{
  flow_fleet fleet({});
  fleet.run_for(seconds(12));
  fleet.data(fleet.flow(1), "a-entry-0");
  fleet.run_for(milliseconds(200));
  BOOST_TEST(fleet.callers[fleet.flow(1)].resets.size() == 1U);
  fleet.set_partitioned("a", "b", true);
  fleet.run_for(seconds(15));
  fleet.data(fleet.flow(2), "a-entry-0");
  fleet.run_for(milliseconds(200));
  BOOST_TEST(fleet.callers[fleet.flow(2)].resets.empty());
}

// Guards against new flows to a leaving target, and against a packet for an address without a service being sent to a
// target.
BOOST_AUTO_TEST_CASE(leaving_targets_and_unknown_services_get_no_flows)
{
  flow_fleet fleet({});
  vm_list next = *fleet.vms;
  for (target_vm& vm : next.targets) {
    vm.leaving = vm.id.ends_with("-0");
  }
  fleet.publish(std::move(next));
  fleet.run_for(seconds(12));
  for (std::uint16_t number = 1; number <= 30; ++number) {
    fleet.open(fleet.flow(number), "a-entry-0");
  }
  flow_key nowhere = fleet.flow(99);
  nowhere.service.port = 81;
  fleet.open(nowhere, "a-entry-0");
  fleet.run_for(seconds(1));
  for (const auto& [id, target] : fleet.targets) {
    BOOST_TEST((!target.vm.id.ends_with("-0") || target.packets == 0));
  }
  BOOST_REQUIRE(fleet.callers[nowhere].resets.size() == 1U);
  BOOST_TEST((fleet.callers[nowhere].resets.front() == reset_reason::no_service));
}

BOOST_AUTO_TEST_SUITE_END()
