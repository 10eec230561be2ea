#include "coltsfootlock/coordination/flow_router.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

using namespace coltsfootlock;

namespace {

constexpr std::uint32_t flow_count = 300000;
const endpoint service_address{ 0x0a090001, 80 };

// Four domains of two daemons and three targets, as in the larger of today's deployments; the first daemon is measured.
std::shared_ptr<const routing_view>
make_view(instant now)
{
  auto services = std::make_shared<catalogue>();
  auto vms = std::make_shared<vm_list>();
  const target_limits limits{ 2, 200000, 2, 200000, 0 };
  services->services.push_back({ "bay", "owner", service_class::urgent, service_address, "bay", limits });
  auto view = std::make_shared<routing_view>();
  for (const char* name : { "lisboa-a", "lisboa-b", "lisboa-c", "lisboa-d" }) {
    const std::string domain = name;
    for (const char* number : { "1", "2" }) {
      const entry_vm vm{ domain + "-entry-" + number, domain, false, {}, { 0x7f000001, 1 }, {} };
      vms->entries.push_back(vm);
      view->domains[domain].members.push_back({ vm, true, daemon_state::serving, {} });
    }
    for (const char* number : { "1", "2", "3" }) {
      const target_vm vm{ domain + "-bay-" + number, domain, false, "bay", { 0x7f000002, 1 }, {}, 1 };
      vms->targets.push_back(vm);
      view->targets[vm.id] = { vm, false, 1, {} };
    }
  }
  view->self = "lisboa-a-entry-1";
  view->domain = "lisboa-a";
  view->state = daemon_state::serving;
  view->services = services;
  view->vms = vms;
  view->spending_sets = { { { "lisboa-a-entry-1", "lisboa-a-entry-2" }, {} } };
  view->spend_authority_until = now + std::chrono::hours(1);
  return view;
}

flow_key
key_of(std::uint32_t number)
{
  return { { 0x0a000000 + number / 50000, static_cast<std::uint16_t>(1 + number % 50000) }, service_address };
}

long
resident_kilobytes()
{
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stol(line.substr(6));
    }
  }
  return 0;
}

template<typename Step>
void
measure(const char* what, const Step& step)
{
  std::vector<traffic_action> actions;
  const auto start = std::chrono::steady_clock::now();
  for (std::uint32_t number = 0; number < flow_count; ++number) {
    actions.clear();
    step(number, actions);
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  std::printf("%-40s %8.0f ns per packet\n", what, elapsed.count() * 1e9 / flow_count);
}

}

// Prints the time per packet and the memory per record of one router with 300,000 records.
int
main()
{
  const instant now{ std::chrono::hours(1) };
  traffic_counters counters;
  flow_router router({}, counters);
  std::vector<traffic_action> actions;
  router.set_view(make_view(now), now, actions);
  const instant later = now + seconds(20);
  measure("open, any home",
          [&](std::uint32_t number, auto& out) { router.on_caller_packet(open_packet{ key_of(number) }, later, out); });
  const long before = resident_kilobytes();
  measure("replicate data to the deputy, new record", [&](std::uint32_t number, auto& out) {
    const forwarded_packet value{ "lisboa-a-entry-2",
                                  forward_purpose::replicate,
                                  0,
                                  true,
                                  "lisboa-a-bay-1",
                                  "lisboa-a-entry-2",
                                  data_packet{ key_of(number + flow_count), true, {}, "payload" } };
    router.on_forwarded("lisboa-a-entry-2", value, later, out);
  });
  std::printf("%-40s %8ld bytes\n", "memory per record", (resident_kilobytes() - before) * 1024 / long{ flow_count });
  measure("data with an own record", [&](std::uint32_t number, auto& out) {
    router.on_caller_packet(data_packet{ key_of(number + flow_count), true, {}, "payload" }, later, out);
  });
  measure("data without a record", [&](std::uint32_t number, auto& out) {
    router.on_caller_packet(data_packet{ key_of(number + 3 * flow_count), true, {}, "payload" }, later, out);
  });
}
