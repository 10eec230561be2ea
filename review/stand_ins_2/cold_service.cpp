// All hosts of a service have just started, and its route gets traffic.
//   change: the manifest leads the route to them some seconds after their start
//   seeds:  it leads there from the beginning, and the seeds of the daemons are stale
// Usage: cold_service DIRECTORY RECORD change|seeds TROUBLE
#include "client.h"
#include "event_loop.h"
#include "fleet.h"
#include "host.h"
#include "packet.h"
#include "store.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

namespace {

using namespace review;

// The deployment: zones and machines of trolley-hub; bounds of its settings.
const std::vector<std::size_t> daemons_per_zone = { 3, 3, 2, 1 };
constexpr double warmup_factor = 1.5;
constexpr double warmup_slack = 5;

// What the manifest says of the new service.
constexpr double warmup_per_s = 30;
constexpr std::int64_t warmup_ms = 12000;

constexpr std::int64_t requests_per_s = 120; // In each zone.
constexpr std::int64_t budget_ms = 5000;

constexpr std::int64_t lead_ms = 10000; // Traffic starts 10 s after the machines.
constexpr std::int64_t new_hosts_ms = lead_ms + 3000;
constexpr std::int64_t change_ms = new_hosts_ms + 4000;
constexpr std::int64_t end_ms = new_hosts_ms + warmup_ms;

constexpr std::uint16_t route_port = 8443;

std::string
manifest(unsigned version, const std::string& service)
{
  const auto group = [](const std::string& name) {
    return "{\"name\":\"" + name +
           "\",\"health-path\":\"/health\",\"max-conns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmup-s\":" +
           std::to_string(warmup_ms / 1000) + ".0,\"warmup-per-s\":" + std::to_string(warmup_per_s) + "}";
  };
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-claims\",\"host\":\"127.255.0.1\",\"prefix\":\"/" + std::to_string(route_port) +
         "/\",\"kind\":\"non_idempotent\",\"timeout-ms\":5000,\"latency-goal-ms\":500,\"priority\":1,\"service\":\"" +
         service + "\",\"max-attempts\":2}],\"services\":[" + group("old") + "," + group("new") +
         "],\"limits\":{\"idle-timeout-ms\":15000}}";
}

struct opening
{
  std::int64_t sent = 0;
  std::int64_t arrived = 0;
};

/// The most openings that were sent and arrived within one second.
std::size_t
most_in_a_second(const std::vector<opening>& openings)
{
  std::size_t most = 0;
  for (const opening& first : openings) {
    most = std::max<std::size_t>(most, std::count_if(openings.begin(), openings.end(), [&](const opening& one) {
                                   return one.sent >= first.sent && one.arrived < first.sent + 1000;
                                 }));
  }
  return most;
}

}

int
main(int argc, char** argv)
{
  if (argc != 5) {
    return 2;
  }
  const bool trouble = std::string(argv[4]) != "0";
  const bool changes = std::string(argv[3]) == "change" && trouble;
  const bool stale_seeds = std::string(argv[3]) == "seeds" && trouble;
  const auto number = static_cast<unsigned>(getpid());
  event_loop loop;
  fleet balancers(loop,
                  { argv[1],
                    "target/programs/coltsfootlockd/coltsfootlockd",
                    "platform/settings.template",
                    100 + number % 100,
                    static_cast<std::uint16_t>(20000 + number % 5000),
                    daemons_per_zone,
                    1200,
                    stale_seeds });
  store registry(loop, balancers.store_address(), balancers.store_port());
  host_observer observer;
  std::map<std::string, std::vector<opening>> cold_openings;
  std::vector<std::unique_ptr<client>> clients;
  observer.on_opening = [&](const std::string& id, bool cold, const packet& one) {
    const std::size_t zone = (one.source >> 8U & 255U) - 200;
    if (cold && zone < clients.size()) {
      cold_openings[id].push_back({ clients[zone]->sent_at(one.source_port), now_ms() });
    }
  };
  std::deque<host> hosts;
  const auto add_host = [&](const std::string& service, std::size_t zone, unsigned serial, std::int64_t cold_ms) {
    host_settings one;
    one.id =
      "i-" + std::string(service == "new" ? "ab" : "cd") + std::to_string(10 + zone) + std::to_string(10 + serial);
    one.service = service;
    one.zone = fleet::zone_name(zone);
    one.address = balancers.address(static_cast<std::uint32_t>(100 + zone), (service == "new" ? 50 : 1) + serial);
    one.port = static_cast<std::uint16_t>(balancers.datagram_port() + 10);
    one.client_port = balancers.datagram_port();
    one.slots = service == "new" ? 4 : 2;
    one.cold_ms = cold_ms;
    one.cold_work_ms = 32; // cold_x = 1.6 times the work of a warm host.
    hosts.emplace_back(loop, registry, one, observer);
  };
  for (std::size_t zone = 0; zone < daemons_per_zone.size(); ++zone) {
    for (unsigned serial = 0; serial < 3; ++serial) {
      add_host("old", zone, serial, 0);
    }
    clients.push_back(
      std::make_unique<client>(loop, balancers, zone, balancers.address(static_cast<std::uint32_t>(200 + zone), 1)));
  }
  // Without a change, the route leads to the new service from the first manifest on.
  registry.put("op/config", manifest(3, changes ? "old" : "new"));
  const std::int64_t start = now_ms();
  balancers.start_all();
  loop.at(start + new_hosts_ms, [&] {
    for (std::size_t zone = 0; zone < daemons_per_zone.size(); ++zone) {
      add_host("new", zone, 0, warmup_ms);
    }
  });
  if (changes) {
    loop.at(start + change_ms, [&] { registry.put("op/config", manifest(7, "new")); });
  }
  for (const auto& callers : clients) {
    for (std::int64_t time = lead_ms; time < end_ms; time += 1000 / requests_per_s) {
      loop.at(start + time, [&callers] { callers->request(127U << 24U | 255U << 16U | 1U, route_port, budget_ms, 2); });
    }
  }
  loop.run_until(start + lead_ms);
  if (balancers.ready() != balancers.machines().size()) {
    std::fprintf(stderr, "only %zu daemons are ready\n", balancers.ready());
    return 2;
  }
  loop.run_until(start + end_ms + budget_ms);

  FILE* record = std::fopen(argv[2], "w");
  if (record == nullptr) {
    return 2;
  }
  const auto limit = static_cast<std::size_t>(warmup_per_s * warmup_factor + warmup_slack);
  bool broken = false;
  bool any = false;
  std::fprintf(record,
               "%s; a cold host bears %g requests a second, limit in one second: %zu\n",
               changes       ? "the manifest changes at 4.0 s"
               : stale_seeds ? "the seeds are stale"
                             : "no disruption",
               warmup_per_s,
               limit);
  for (const auto& [id, openings] : cold_openings) {
    const std::size_t most = most_in_a_second(openings);
    any = any || !openings.empty();
    broken = broken || most > limit;
    std::fprintf(record, "cold host %s: %zu flows, at most %zu in one second\n", id.c_str(), openings.size(), most);
    std::map<std::int64_t, unsigned> tenths;
    for (const opening& one : openings) {
      ++tenths[(one.arrived - start - new_hosts_ms) / 100];
    }
    std::fprintf(record, "  by tenth of a second since its start:");
    for (const auto& [tenth, count] : tenths) {
      std::fprintf(record, " %lld:%u", static_cast<long long>(tenth), count);
    }
    std::fprintf(record, "\n");
  }
  for (std::size_t zone = 0; zone < clients.size(); ++zone) {
    const client_counts& counts = clients[zone]->counts();
    std::fprintf(record,
                 "clients of %s: %u flows opened, %u answered, %u cut, %u too late; %u openings reset, %u unanswered\n",
                 fleet::zone_name(zone).c_str(),
                 counts.opened,
                 counts.answered,
                 counts.cut,
                 counts.too_late,
                 counts.reset,
                 counts.not_opened);
  }
  std::fprintf(record,
               "%s\n",
               !any     ? "no cold host got a flow: the case could not run"
               : broken ? "FAILBACK broken"
                        : "FAILBACK held");
  std::fclose(record);
  return !any ? 2 : broken ? 1 : 0;
}
