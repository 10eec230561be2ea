// Another writer replaces the store's entries of hosts that live and serve; each host writes its own again with its
// next heartbeat.
// Usage: foreign_entry DIRECTORY RECORD TROUBLE
#include "client.h"
#include "event_loop.h"
#include "fleet.h"
#include "host.h"
#include "packet.h"
#include "store.h"

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <unistd.h>

namespace {

using namespace review;

// Zones and machines of trolley-hub, hosts and work of tazasu-hq.
const std::vector<std::size_t> daemons_per_zone = { 3, 3, 2, 1 };
constexpr unsigned hosts_per_zone = 4;
constexpr unsigned flows_per_zone = 40;
constexpr std::int64_t min_work_ms = 40;
constexpr std::int64_t max_work_ms = 430;
constexpr std::int64_t min_pause_ms = 1500;
constexpr std::int64_t max_pause_ms = 4000;
constexpr std::int64_t budget_ms = 5000;

constexpr std::int64_t lead_ms = 10000;
constexpr std::int64_t first_foreign_ms = lead_ms + 10000;
constexpr std::int64_t foreign_interval_ms = 3000;
constexpr unsigned foreign_entries = 6;
constexpr std::int64_t end_ms = first_foreign_ms + foreign_interval_ms * foreign_entries + 5000;

constexpr std::uint16_t route_port = 8443;

const char* const manifest =
  R"({"version":3,"routes":[{"name":"r-confirm","host":"127.255.0.1","prefix":"/8443/","kind":"non_idempotent",)"
  R"("timeout-ms":5000,"latency-goal-ms":300,"priority":1,"service":"link","max-attempts":2}],)"
  R"("services":[{"name":"link","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,)"
  R"("warmup-s":2.0,"warmup-per-s":0.0}],"limits":{"idle-timeout-ms":15000}})";

/// An entry that names no host: of a service that the manifest doesn't name, without a field, or with a field of
/// another type.
std::string
foreign_entry(unsigned form, const std::string& address, const std::string& zone)
{
  const std::string service = form == 0 ? "batch-jobs" : "link";
  const std::string version = form == 0 ? R"("version":"v7",)" : form == 1 ? "" : R"("version":7,)";
  return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":")" + zone + R"(",)" + version +
         R"("slots":2,"state":"ready","warmup-left-ms":0,"seq":1,"born":1600000000000})";
}

const char* const form_names[] = { "its service isn't named in the manifest",
                                   "its field version is missing",
                                   "its field version is a number" };

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
                    1200 });
  store registry(loop, balancers.store_address(), balancers.store_port());
  const std::int64_t start = now_ms();
  FILE* record = std::fopen(argv[2], "w");
  if (record == nullptr) {
    return 2;
  }
  std::set<std::string> run;
  host_observer observer;
  observer.on_run = [&](const std::string&, const packet& one) { run.insert(one.data); };
  std::deque<host> hosts;
  std::vector<std::unique_ptr<client>> clients;
  unsigned cut_by_system = 0;
  unsigned lost = 0;
  for (std::size_t zone = 0; zone < daemons_per_zone.size(); ++zone) {
    for (unsigned serial = 0; serial < hosts_per_zone; ++serial) {
      host_settings one;
      one.id = "i-c0de" + std::to_string(10 + zone) + std::to_string(10 + serial);
      one.service = "link";
      one.zone = fleet::zone_name(zone);
      one.address = balancers.address(static_cast<std::uint32_t>(100 + zone), 1 + serial);
      one.port = static_cast<std::uint16_t>(balancers.datagram_port() + 10);
      one.client_port = balancers.datagram_port();
      one.slots = 4;
      one.work_ms = min_work_ms;
      one.max_work_ms = max_work_ms;
      hosts.emplace_back(loop, registry, one, observer);
    }
    clients.push_back(
      std::make_unique<client>(loop, balancers, zone, balancers.address(static_cast<std::uint32_t>(200 + zone), 1)));
    clients.back()->on_cut = [&, zone](std::uint16_t port, bool by_host, const std::string& waiting) {
      const bool ran = !waiting.empty() && run.contains(waiting);
      cut_by_system += by_host ? 0 : 1;
      lost += !by_host && ran ? 1 : 0;
      std::fprintf(record,
                   "%6.3f s: %s resets the open flow of client port %u in %s%s\n",
                   static_cast<double>(now_ms() - start - lead_ms) / 1000,
                   by_host ? "the host" : "a daemon",
                   port,
                   fleet::zone_name(zone).c_str(),
                   waiting.empty() ? ""
                   : ran           ? "; its request runs at the host and gets no answer"
                                   : "; its request waits");
    };
  }
  registry.put("op/config", manifest);
  balancers.start_all();
  for (const auto& callers : clients) {
    for (unsigned count = 0; count < flows_per_zone; ++count) {
      loop.at(start + lead_ms + 50 * count, [&callers] {
        callers->keep_flow(127U << 24U | 255U << 16U | 1U, route_port, budget_ms, min_pause_ms, max_pause_ms);
      });
    }
  }
  for (unsigned count = 0; trouble && count < foreign_entries; ++count) {
    loop.at(start + first_foreign_ms + foreign_interval_ms * count, [&, count] {
      const host& replaced = hosts[(count * 5) % hosts.size()];
      std::fprintf(record,
                   "%6.3f s: another writer replaces the entry of %s: %s\n",
                   static_cast<double>(now_ms() - start - lead_ms) / 1000,
                   replaced.id().c_str(),
                   form_names[count % 3]);
      registry.put("servers/" + replaced.id(),
                   foreign_entry(count % 3, address_text(balancers.address(120, 1)) + ":9000", fleet::zone_name(0)));
    });
  }
  loop.run_until(start + lead_ms);
  if (balancers.ready() != balancers.machines().size()) {
    std::fprintf(stderr, "only %zu daemons are ready\n", balancers.ready());
    return 2;
  }
  loop.run_until(start + end_ms);

  unsigned answered = 0;
  for (std::size_t zone = 0; zone < clients.size(); ++zone) {
    const client_counts& counts = clients[zone]->counts();
    answered += counts.answered;
    std::fprintf(record,
                 "clients of %s: %u flows opened, %u answers, %u flows cut, %u answers too late\n",
                 fleet::zone_name(zone).c_str(),
                 counts.opened,
                 counts.answered,
                 counts.cut,
                 counts.too_late);
  }
  std::fprintf(record,
               "flows that a daemon reset while their host lived: %u; requests that ran and got no answer for it: %u\n",
               cut_by_system,
               lost);
  std::fprintf(record,
               "%s\n",
               answered == 0       ? "the case could not run"
               : cut_by_system > 0 ? "FLOW broken"
                                   : "FLOW held");
  std::fclose(record);
  return answered == 0 ? 2 : cut_by_system > 0 ? 1 : 0;
}
