// Many users come at once, several times: the hosts are full for some seconds and answer all the while.
// Usage: saturation DIRECTORY RECORD TROUBLE
#include "client.h"
#include "event_loop.h"
#include "fleet.h"
#include "host.h"
#include "packet.h"
#include "store.h"

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

namespace {

using namespace review;

// Zones, machines, hosts, work and time budget of trolley-hub.
const std::vector<std::size_t> daemons_per_zone = { 3, 3, 2, 1 };
const std::vector<unsigned> hosts_per_zone = { 4, 4, 3, 3 };
constexpr std::int64_t min_work_ms = 10;
constexpr std::int64_t max_work_ms = 70;
constexpr std::int64_t budget_ms = 1200;

constexpr unsigned kept_flows = 9; // In each zone; clients with pauses.
constexpr std::int64_t min_pause_ms = 4000;
constexpr std::int64_t max_pause_ms = 9000;
constexpr std::int64_t new_flows_per_s =
  620; // In all zones but the last one, where they are a twentieth of a zone's share.
constexpr double burst_factor = 1.7;
constexpr std::int64_t burst_ms = 3000;
constexpr std::int64_t burst_interval_ms = 10000;
constexpr unsigned bursts = 8;

constexpr std::int64_t lead_ms = 10000;
constexpr std::int64_t first_burst_ms = lead_ms + 8000;
constexpr std::int64_t end_ms = first_burst_ms + bursts * burst_interval_ms;

constexpr std::uint32_t route_address = 127U << 24U | 255U << 16U | 1U;
constexpr std::uint16_t route_port = 8443;

const char* const manifest =
  R"({"version":3,"routes":[{"name":"r-status","host":"127.255.0.1","prefix":"/8443/","kind":"idempotent",)"
  R"("timeout-ms":1000,"latency-goal-ms":120,"priority":2,"service":"baylink","max-attempts":2}],)"
  R"("services":[{"name":"baylink","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,)"
  R"("warmup-s":2.0,"warmup-per-s":0.0}],"limits":{"idle-timeout-ms":15000}})";

bool
in_burst(std::int64_t time)
{
  return time >= first_burst_ms && (time - first_burst_ms) % burst_interval_ms < burst_ms;
}

}

int
main(int argc, char** argv)
{
  if (argc != 4) {
    return 2;
  }
  const bool trouble = std::string(argv[3]) != "0";
  const auto number = static_cast<unsigned>(getpid());
  std::srand(number);
  event_loop loop;
  fleet balancers(loop,
                  { argv[1],
                    "target/programs/coltsfootlockd/coltsfootlockd",
                    "platform/settings.template",
                    100 + number % 100,
                    static_cast<std::uint16_t>(20000 + number % 5000),
                    daemons_per_zone,
                    1200,
                    false });
  store registry(loop, balancers.store_address(), balancers.store_port());
  const std::int64_t start = now_ms();
  FILE* record = std::fopen(argv[2], "w");
  if (record == nullptr) {
    return 2;
  }
  host_observer observer;
  std::deque<host> hosts;
  std::vector<std::unique_ptr<client>> clients;
  unsigned cut_by_system = 0;
  for (std::size_t zone = 0; zone < daemons_per_zone.size(); ++zone) {
    for (unsigned serial = 0; serial < hosts_per_zone[zone]; ++serial) {
      host_settings one;
      one.id = "i-c0de" + std::to_string(10 + zone) + std::to_string(10 + serial);
      one.service = "baylink";
      one.zone = fleet::zone_name(zone);
      one.address = balancers.address(static_cast<std::uint32_t>(100 + zone), 1 + serial);
      one.port = static_cast<std::uint16_t>(balancers.datagram_port() + 10);
      one.client_port = balancers.datagram_port();
      one.work_ms = min_work_ms;
      one.max_work_ms = max_work_ms;
      one.refuses_when_full = true;
      hosts.emplace_back(loop, registry, one, observer);
    }
    clients.push_back(
      std::make_unique<client>(loop, balancers, zone, balancers.address(static_cast<std::uint32_t>(200 + zone), 1)));
    clients.back()->on_cut = [&, zone](std::uint16_t port, bool by_host, const std::string& waiting) {
      cut_by_system += by_host ? 0 : 1;
      std::fprintf(record,
                   "%6.3f s: %s resets the open flow of client port %u in %s%s\n",
                   static_cast<double>(now_ms() - start - lead_ms) / 1000,
                   by_host ? "the host" : "a daemon",
                   port,
                   fleet::zone_name(zone).c_str(),
                   waiting.empty() ? "" : "; a request has no answer");
    };
  }
  registry.put("op/config", manifest);
  balancers.start_all();
  const std::size_t last = clients.size() - 1;
  for (std::size_t zone = 0; zone < clients.size(); ++zone) {
    client* const callers = clients[zone].get();
    for (unsigned count = 0; count < kept_flows; ++count) {
      loop.at(start + lead_ms + 300 * count,
              [callers] { callers->keep_flow(route_address, route_port, budget_ms, min_pause_ms, max_pause_ms); });
    }
    const double per_ms =
      static_cast<double>(new_flows_per_s) / 1000 / static_cast<double>(last) / (zone == last ? 20 : 1);
    double owed = 0;
    for (std::int64_t time = lead_ms; time < end_ms; ++time) {
      owed += per_ms * (trouble && in_burst(time) ? burst_factor : 1);
      while (owed >= 1) {
        owed -= 1;
        loop.at(start + time, [callers] { callers->request(route_address, route_port, budget_ms, 2); });
      }
    }
  }
  loop.run_until(start + lead_ms);
  if (balancers.ready() != balancers.machines().size()) {
    std::fprintf(stderr, "only %zu daemons are ready\n", balancers.ready());
    return 2;
  }
  loop.run_until(start + end_ms + budget_ms);

  unsigned answered = 0;
  for (std::size_t zone = 0; zone < clients.size(); ++zone) {
    const client_counts& counts = clients[zone]->counts();
    answered += counts.answered;
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
  std::fprintf(record, "flows that a daemon reset while their host lived: %u\n", cut_by_system);
  std::fprintf(record,
               "%s\n",
               answered == 0       ? "the case could not run"
               : cut_by_system > 0 ? "FLOW broken"
                                   : "FLOW held");
  std::fclose(record);
  return answered == 0 ? 2 : cut_by_system > 0 ? 1 : 0;
}
