// The settings of some machines change: a bound becomes a fraction. Afterwards they are stopped and started in turn.
// Usage: fraction_bound DIRECTORY RECORD TROUBLE
#include "client.h"
#include "event_loop.h"
#include "fleet.h"
#include "host.h"
#include "packet.h"
#include "store.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

namespace {

using namespace review;

// Zones and machines of trolley-hub; the largest shares of its sheet: hup 0.6, roll_term 0.45.
const std::vector<std::size_t> daemons_per_zone = { 3, 3, 2, 1 };
constexpr std::size_t changed_machines = 5;
constexpr std::size_t stopped_machines = 4;
constexpr std::int64_t stop_interval_ms = 1300;
constexpr std::int64_t grace_ms = 6000;
constexpr std::size_t own_ends_of_a_fault = 3;

constexpr std::int64_t budget_ms = 5000;
constexpr std::int64_t requests_per_s = 20; // In each zone.
constexpr std::int64_t lead_ms = 10000;
constexpr std::int64_t change_ms = lead_ms + 4000;
constexpr std::int64_t stop_ms = change_ms + 4000;
constexpr std::int64_t end_ms = stop_ms + 25000;

const char* const manifest =
  R"({"version":3,"routes":[{"name":"r-claim","host":"127.255.0.1","prefix":"/8443/","kind":"non_idempotent",)"
  R"("timeout-ms":5000,"latency-goal-ms":300,"priority":1,"service":"claims","max-attempts":2}],)"
  R"("services":[{"name":"claims","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,)"
  R"("warmup-s":2.0,"warmup-per-s":0.0}],"limits":{"idle-timeout-ms":15000}})";

}

int
main(int argc, char** argv)
{
  if (argc != 4) {
    return 2;
  }
  const bool trouble = std::string(argv[3]) != "0";
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
                    false });
  store registry(loop, balancers.store_address(), balancers.store_port());
  const std::int64_t start = now_ms();
  host_observer observer;
  std::deque<host> hosts;
  std::vector<std::unique_ptr<client>> clients;
  for (std::size_t zone = 0; zone < daemons_per_zone.size(); ++zone) {
    for (unsigned serial = 0; serial < 3; ++serial) {
      host_settings one;
      one.id = "i-c0de" + std::to_string(10 + zone) + std::to_string(10 + serial);
      one.service = "claims";
      one.zone = fleet::zone_name(zone);
      one.address = balancers.address(static_cast<std::uint32_t>(100 + zone), 1 + serial);
      one.port = static_cast<std::uint16_t>(balancers.datagram_port() + 10);
      one.client_port = balancers.datagram_port();
      hosts.emplace_back(loop, registry, one, observer);
    }
    clients.push_back(
      std::make_unique<client>(loop, balancers, zone, balancers.address(static_cast<std::uint32_t>(200 + zone), 1)));
  }
  registry.put("op/config", manifest);
  balancers.start_all();
  for (const auto& callers : clients) {
    for (std::int64_t time = lead_ms; time < end_ms; time += 1000 / requests_per_s) {
      loop.at(start + time, [&callers] { callers->request(127U << 24U | 255U << 16U | 1U, 8443, budget_ms, 2); });
    }
  }
  std::vector<machine>& machines = balancers.machines();
  loop.at(start + change_ms, [&] {
    for (std::size_t index = 0; index < changed_machines; ++index) {
      balancers.change_setting(machines[index], "bounds.grace-s", trouble ? "6.5" : "7");
    }
  });
  for (std::size_t index = 0; index < stopped_machines; ++index) {
    loop.at(start + stop_ms + stop_interval_ms * static_cast<std::int64_t>(index),
            [&, index] { balancers.stop(machines[index], grace_ms); });
  }
  loop.run_until(start + lead_ms);
  if (balancers.ready() != machines.size()) {
    std::fprintf(stderr, "only %zu daemons are ready\n", balancers.ready());
    return 2;
  }
  loop.run_until(start + end_ms + budget_ms);

  FILE* record = std::fopen(argv[2], "w");
  if (record == nullptr) {
    return 2;
  }
  std::fprintf(record,
               "bounds.grace-s changes to %s on %zu machines, %zu of them are stopped and started in turn\n",
               trouble ? "6.5" : "7",
               changed_machines,
               stopped_machines);
  std::size_t failing = 0;
  for (const machine& one : machines) {
    failing += one.own_ends.size() >= own_ends_of_a_fault ? 1 : 0;
    std::fprintf(record,
                 "%s: %zu ends by itself, %s at the end\n",
                 one.name.c_str(),
                 one.own_ends.size(),
                 one.misses < 2 ? "ready" : "not ready");
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
  // A tenth of the machines, two at least.
  const bool broken = failing >= std::max<std::size_t>(machines.size() / 10, 2);
  std::fprintf(record,
               "Fault %s: processes of %zu machines end by themselves three times or more\n",
               broken ? "broken" : "held",
               failing);
  std::fclose(record);
  return broken ? 1 : 0;
}
