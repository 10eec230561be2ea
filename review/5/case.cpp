#include "../stand_ins/deployment.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <optional>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

// As on the sheet of trolley-hub.
const zone_plan zones = { { "lisboa-a", 3 }, { "lisboa-b", 3 }, { "lisboa-c", 2 }, { "lisboa-d", 1 } };
const std::vector<std::size_t> hosts_of_zone = { 4, 4, 3, 3 };
constexpr std::size_t machines_of_zone_a = 3;
constexpr std::size_t drained_hosts = 3; // Of 18.
constexpr auto change_lead = 15ms;       // How long before the cut another record changes.
constexpr auto drain_time = 3000ms;      // drain-ms
constexpr auto freeze_time = 4s;
constexpr auto cut_time = 5500ms;

std::string
entry(const std::string& zone, const std::string& address, const std::string& state, const std::string& version = "v1")
{
  static int sequence = 9;
  return R"({"service":"baylink","address":")" + address + R"(","zone":")" + zone + R"(","version":")" + version +
         R"(","slots":2,"state":")" + state + R"(","warmup-left-ms":0,"seq":)" + std::to_string(++sequence) +
         R"(,"born":1790000000000})";
}

/// The machines of the first zone that read the store during `time`.
std::vector<std::size_t>
readers(deployment& here, std::chrono::milliseconds time)
{
  std::vector<std::size_t> before;
  for (std::size_t index = 0; index < machines_of_zone_a; ++index) {
    before.push_back(here.records.watches(index));
  }
  std::this_thread::sleep_for(time);
  std::vector<std::size_t> result;
  for (std::size_t index = 0; index < machines_of_zone_a; ++index) {
    if (here.records.watches(index) > before[index]) {
      result.push_back(index);
    }
  }
  return result;
}

/// The machine that reads the store alone, once the zone has settled.
std::optional<std::size_t>
only_reader(deployment& here)
{
  for (int attempt = 0; attempt < 12; ++attempt) {
    const auto found = readers(here, 3s);
    if (found.size() == 1) {
      return found.front();
    }
  }
  return std::nullopt;
}

int
play(const case_arguments& arguments)
{
  deployment here(arguments, 0, zones, "1200");
  const std::string host_port = ":" + std::to_string(here.used_ports.host);
  const endpoint status{ address_number(here.prefix + "250.1"), 443 };
  here.records.put("op/config", manifest(7, { { "r-status", status, "idempotent", "baylink" } }, { "baylink" }));
  std::vector<std::pair<std::string, std::string>> hosts_of_zone_a; // Id and address.
  std::size_t host = 0;
  for (std::size_t zone = 0; zone < zones.size(); ++zone) {
    for (std::size_t count = 0; count < hosts_of_zone[zone]; ++count) {
      ++host;
      const std::string id = "i-a0b1c2d" + std::to_string(10 + host);
      const std::string ip = here.prefix + "20." + std::to_string(host);
      here.traffic.add_host(id, "baylink", zones[zone].first, ip, here.used_ports.host, 2000);
      here.records.put("servers/" + id, entry(zones[zone].first, ip + host_port, "ready"));
      if (zone == 0) {
        hosts_of_zone_a.emplace_back(id, ip + host_port);
      }
    }
  }
  for (int index = 1; index <= 20; ++index) {
    here.traffic.add_client(here.prefix + "30." + std::to_string(index), zones.front().first);
  }
  here.daemons.start();
  here.traffic.start();
  if (!wait_until([&here] { return here.daemons.all_ready(); }, 15s)) {
    std::cerr << "the daemons are not ready\n";
    return could_not_run;
  }
  std::this_thread::sleep_for(10s); // Until all machines know each other.
  // Finds the reader of the zone, and which machine takes over from it, by a short partition long before the case.
  const auto reader = only_reader(here);
  if (!reader) {
    std::cerr << "the zone has no single reader\n";
    return could_not_run;
  }
  here.records.partition(*reader, true);
  std::optional<std::size_t> successor;
  for (int attempt = 0; attempt < 300 && !successor; ++attempt) {
    for (const std::size_t index : readers(here, 10ms)) {
      successor = index == *reader ? successor : index;
    }
  }
  here.records.partition(*reader, false);
  std::optional<std::size_t> third;
  for (std::size_t index = 0; index < machines_of_zone_a; ++index) {
    third = index == *reader || index == successor ? third : index;
  }
  if (!successor || !third) {
    std::cerr << "the order of the machines is not clear\n";
    return could_not_run;
  }
  std::this_thread::sleep_for(8s);
  if (only_reader(here) != reader) {
    std::cerr << "the zone has not settled\n";
    return could_not_run;
  }
  const auto& machines = here.daemons.machines();
  here.record.line("reader " + machines[*reader].name + ", successor " + machines[*successor].name + ", third " +
                   machines[*third].name);
  const auto begin = steady::now();
  std::optional<steady::time_point> drained_at;
  bool changed = false;
  std::size_t watches_before = 0;
  bool cut = false;
  bool frozen = false;
  while (steady::now() - begin < 9s) {
    const auto passed = steady::now() - begin - 2s;
    here.traffic.open_flow(status, 1s);
    here.traffic.close_flows(status, 1);
    if (!changed && passed >= 0s) { // Another host of the zone has just changed its entry.
      watches_before = here.records.watches(*reader);
      const auto& [id, address] = hosts_of_zone_a.back();
      here.records.put("servers/" + id, entry(zones.front().first, address, "ready", "v2"));
      changed = true;
    }
    // The reader has that change as soon as it asks for the next one.
    if (changed && !drained_at && (here.records.watches(*reader) > watches_before || passed > 1s)) {
      if (arguments.trouble) {
        here.record.line("partitions " + machines[*reader].name + " from the store");
        here.records.partition(*reader, true);
        here.daemons.signal(*successor, SIGSTOP);
        cut = true;
        frozen = true;
      }
      for (std::size_t index = 0; index < drained_hosts; ++index) {
        const auto& [id, address] = hosts_of_zone_a[index];
        here.records.put("servers/" + id, entry(zones.front().first, address, "draining"));
        here.record.line(id + " is leaving, acknowledged by the store");
      }
      drained_at = steady::now();
    }
    if (frozen && passed >= freeze_time) {
      here.daemons.signal(*successor, SIGCONT);
      frozen = false;
    }
    if (cut && passed >= cut_time) {
      here.records.partition(*reader, false);
      cut = false;
    }
    std::this_thread::sleep_for(8ms);
  }
  std::size_t late = 0;
  const std::vector<taken_open> all_taken = here.traffic.taken_opens();
  const auto opens = here.traffic.sent_opens();
  for (const taken_open& taken : all_taken) {
    const auto drained_end = hosts_of_zone_a.begin() + drained_hosts;
    const bool drained =
      std::any_of(hosts_of_zone_a.begin(), drained_end, [&taken](const auto& one) { return one.first == taken.host; });
    const std::size_t daemon = opens.at(taken.flow).at(taken.copy).daemon;
    if (drained && daemon == *third && taken.at > *drained_at + drain_time) {
      ++late;
      const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(taken.at - *drained_at);
      here.record.line("DRAIN: " + taken.host + " got a flow through " + machines[daemon].name + " " +
                       std::to_string(time.count()) + " ms after the store acknowledged that it leaves");
    }
  }
  const std::string summary = "requests answered " + std::to_string(here.traffic.answered()) +
                              ", new flows that reached a leaving host too late " + std::to_string(late);
  here.record.line(summary);
  std::cout << summary << "\n";
  if (here.traffic.answered() == 0) {
    return could_not_run;
  }
  return late > 0 ? rule_broken : rule_held;
}

}

int
main(int argc, char** argv)
{
  return run_case(argc, argv, play);
}
