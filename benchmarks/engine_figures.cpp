#include "example_view.h"
#include "figure.h"
#include "figures.h"

#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/coordination/traffic_engine.h"

#include <chrono>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include <malloc.h>
#include <unistd.h>

namespace coltsfootlock::benchmark {

namespace {

constexpr int decisions = 1000000;
constexpr int opens = 100000;
constexpr double nanoseconds_per_second = 1e9;

double
elapsed_nanoseconds(std::chrono::steady_clock::time_point start)
{
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
}

double
resident_bytes()
{
  std::ifstream statistics("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statistics >> total >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

flow_key
flow_number(std::uint32_t number)
{
  return { { 0x0b000000 + number / 60000, static_cast<std::uint16_t>(1 + number % 60000) }, example_service };
}

timing
large_tables()
{
  timing times;
  times.max_flows = 2000000;
  return times;
}

// Flow records as a peer would hand them over.
std::vector<flow_record>
records(const routing_view& view, std::uint32_t count)
{
  std::vector<vm_id> targets;
  for (const auto& [id, target] : view.targets) {
    targets.push_back(id);
  }
  std::vector<flow_record> result;
  result.reserve(count);
  for (std::uint32_t number = 0; number < count; ++number) {
    result.push_back({ flow_number(number), targets[number % targets.size()], view.self });
  }
  return result;
}

double
nanoseconds_per_decision(traffic_engine& engine, std::uint32_t flows, instant now)
{
  std::mt19937 random(7);
  std::vector<packet> packets;
  constexpr std::size_t different = 65536;
  packets.reserve(different);
  for (std::size_t index = 0; index < different; ++index) {
    packets.emplace_back(data_packet{ flow_number(random() % flows), true, {}, std::string(100, 'x') });
  }
  std::size_t sent = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int index = 0; index < decisions; ++index) {
    sent += engine.on_caller_packet(packets[static_cast<std::size_t>(index) % different], now).size();
  }
  const double time = elapsed_nanoseconds(start) / decisions;
  return sent >= decisions ? time : -1;
}

// The stateless choice: the best of the targets by rendezvous for each packet.
double
nanoseconds_per_plain_choice(const routing_view& view)
{
  std::vector<std::string> names;
  for (const auto& [id, target] : view.targets) {
    names.push_back(id);
  }
  std::size_t chosen = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int index = 0; index < decisions; ++index) {
    std::uint64_t best = 0;
    const std::uint64_t hash = hash_of(flow_number(static_cast<std::uint32_t>(index)));
    for (const std::string& name : names) {
      best = std::max(best, rendezvous_score(hash, name));
    }
    chosen += best != 0 ? 1 : 0;
  }
  return chosen > 0 ? elapsed_nanoseconds(start) / decisions : -1;
}

int
measure_decisions(const std::shared_ptr<const routing_view>& view, instant now)
{
  int missed = 0;
  for (const std::uint32_t flows : { 10000U, 300000U, 1000000U }) {
    ::malloc_trim(0); // Memory freed by the round before must not be counted as available.
    const double before = resident_bytes();
    traffic_engine engine(large_tables(), 1);
    engine.set_view(view, now);
    {
      const std::vector<flow_record> pulled = records(*view, flows);
      engine.adopt(pulled, now);
      engine.tick(now);
    }
    const std::string size = std::to_string(flows / 1000) + "k";
    missed += print({ "packet_decision_at_" + size + "_flows",
                      nanoseconds_per_decision(engine, flows, now),
                      "ns",
                      nanoseconds_per_plain_choice(*view),
                      "plain rendezvous choice per packet",
                      {},
                      {} })
                ? 0
                : 1;
    print(
      { "flows_held_at_" + size, static_cast<double>(engine.counters().flows), "records", {}, {}, {}, flows * 1.0 });
    print({ "resident_bytes_per_flow_at_" + size, (resident_bytes() - before) / flows, "bytes", {}, {}, {}, {} });
  }
  return missed;
}

// Processor time of one new flow over the fleet: entry, home and deputy each do their part once.
int
measure_new_flows(const std::shared_ptr<const routing_view>& view, instant now)
{
  traffic_engine engine(large_tables(), 1);
  engine.set_view(view, now);
  auto start = std::chrono::steady_clock::now();
  for (std::uint32_t number = 0; number < opens; ++number) {
    engine.on_caller_packet(open_packet{ flow_number(number) }, now);
  }
  const double entry = elapsed_nanoseconds(start) / opens;
  start = std::chrono::steady_clock::now();
  for (std::uint32_t number = 0; number < opens; ++number) {
    const open_packet open{ flow_number(opens + number) };
    engine.on_peer_message(
      "a-entry-1", forwarded_packet{ "a-entry-1", forward_purpose::route_at_home, 1, true, {}, {}, open }, now);
  }
  const double home = elapsed_nanoseconds(start) / opens;
  start = std::chrono::steady_clock::now();
  for (std::uint32_t number = 0; number < opens; ++number) {
    const open_packet open{ flow_number(2 * opens + number) };
    const forwarded_packet replica{ "a-entry-1", forward_purpose::replicate, 1, true, "a-target-1", "a-entry-1", open };
    engine.on_peer_message("a-entry-1", replica, now);
  }
  const double deputy = elapsed_nanoseconds(start) / opens;
  print({ "open_at_entry", entry, "ns", {}, {}, {}, {} });
  print({ "open_at_home", home, "ns", {}, {}, {}, {} });
  print({ "open_at_deputy", deputy, "ns", {}, {}, {}, {} });
  const double rate = nanoseconds_per_second / (entry + home + deputy);
  return print({ "new_flows_per_second_on_one_core_decisions_only", rate, "flows/s", {}, {}, {}, 5000.0 }) ? 0 : 1;
}

}

int
measure_engine()
{
  const instant now{ std::chrono::hours(10) };
  const auto view = example_view(now);
  return measure_decisions(view, now) + measure_new_flows(view, now);
}

}
