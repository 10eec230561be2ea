// Another writer puts a copy of a living host's entry in its place, without the field `version`; the host writes its
// own again with its next heartbeat.
//   service: the copy names another service of the manifest
//   drain:   the host is leaving, and the copy is one from before
// Usage: foreign_copy DIRECTORY RECORD service|drain TROUBLE
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

// Zones and machines of trolley-hub.
const std::vector<std::size_t> daemons_per_zone = { 3, 3, 2, 1 };
constexpr unsigned claim_hosts_per_zone = 3;
constexpr std::int64_t drain_ms = 3000;
constexpr std::int64_t budget_ms = 5000;
constexpr std::int64_t claims_per_s = 20; // New flows, in each zone.
constexpr std::int64_t reports_per_s = 6;

constexpr std::int64_t lead_ms = 10000;
// Each copy comes after the next heartbeat of the host. All is calm for longer than `contact-ms` before the first one.
constexpr std::int64_t heartbeat_ms = 1200;
constexpr std::int64_t copy_after_heartbeat_ms = 100;
constexpr std::int64_t first_copy_ms = lead_ms + 8000;
constexpr std::int64_t copy_interval_ms = 3600;
constexpr unsigned copies = 4;
constexpr std::int64_t copy_after_leaving_ms = 4000;
constexpr std::int64_t serving_ms = 7000; // How long a leaving host serves.
constexpr std::int64_t end_ms = first_copy_ms + copy_interval_ms * copies + 8000;

constexpr std::uint32_t route_address = 127U << 24U | 255U << 16U | 1U;
constexpr std::uint16_t claim_port = 8443;
constexpr std::uint16_t report_port = 8080;

const char* const manifest =
  R"({"version":3,"routes":[{"name":"r-claim","host":"127.255.0.1","prefix":"/8443/","kind":"non_idempotent",)"
  R"("timeout-ms":5000,"latency-goal-ms":300,"priority":1,"service":"claims","max-attempts":2},)"
  R"({"name":"r-report","host":"127.255.0.1","prefix":"/8080/","kind":"download",)"
  R"("timeout-ms":5000,"latency-goal-ms":500,"priority":2,"service":"reports","max-attempts":2}],)"
  R"("services":[{"name":"claims","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,)"
  R"("warmup-s":2.0,"warmup-per-s":0.0},{"name":"reports","health-path":"/health","max-conns":2000,"protocol":"h1",)"
  R"("tls":false,"warmup-s":2.0,"warmup-per-s":0.0}],"limits":{"idle-timeout-ms":15000}})";

std::string
replace(std::string text, const std::string& old_part, const std::string& new_part)
{
  const std::size_t at = text.find(old_part);
  return at == std::string::npos ? text : text.replace(at, old_part.size(), new_part);
}

}

int
main(int argc, char** argv)
{
  if (argc != 5) {
    return 2;
  }
  const bool drains = std::string(argv[3]) == "drain";
  const bool trouble = std::string(argv[4]) != "0";
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
  const auto seconds = [start] { return static_cast<double>(now_ms() - start - lead_ms) / 1000; };
  FILE* record = std::fopen(argv[2], "w");
  if (record == nullptr) {
    return 2;
  }
  std::map<std::string, std::int64_t> left_at; // When the store acknowledged that the host leaves.
  std::map<std::string, std::string> service_of;
  std::map<std::string, std::set<std::string>> running;
  unsigned wrong_service = 0;
  unsigned late_openings = 0;
  unsigned run = 0;
  host_observer observer;
  observer.on_opening = [&](const std::string& id, bool, const packet& one) {
    const auto left = left_at.find(id);
    if (left != left_at.end() && now_ms() - left->second > drain_ms) {
      ++late_openings;
      std::fprintf(record,
                   "%6.3f s: %s takes a new flow, client port %u, %lld ms after its leaving was acknowledged\n",
                   seconds(),
                   id.c_str(),
                   one.source_port,
                   static_cast<long long>(now_ms() - left->second));
    }
  };
  observer.on_run = [&](const std::string& id, const packet& one) {
    ++run;
    const std::string wanted = one.destination_port == claim_port ? "claims" : "reports";
    if (service_of[id] != wanted) {
      ++wrong_service;
      std::fprintf(record,
                   "%6.3f s: %s of the service %s runs a request for the service %s, client port %u\n",
                   seconds(),
                   id.c_str(),
                   service_of[id].c_str(),
                   wanted.c_str(),
                   one.source_port);
    }
  };
  std::deque<host> hosts;
  std::vector<std::unique_ptr<client>> clients;
  for (std::size_t zone = 0; zone < daemons_per_zone.size(); ++zone) {
    for (unsigned serial = 0; serial <= claim_hosts_per_zone; ++serial) {
      host_settings one;
      one.id = "i-c0de" + std::to_string(10 + zone) + std::to_string(10 + serial);
      one.service = serial == 0 ? "reports" : "claims";
      one.zone = fleet::zone_name(zone);
      one.address = balancers.address(static_cast<std::uint32_t>(100 + zone), 1 + serial);
      one.port = static_cast<std::uint16_t>(balancers.datagram_port() + 10);
      one.client_port = balancers.datagram_port();
      one.work_ms = 10;
      one.max_work_ms = 40;
      service_of[one.id] = one.service;
      hosts.emplace_back(loop, registry, one, observer);
    }
    clients.push_back(
      std::make_unique<client>(loop, balancers, zone, balancers.address(static_cast<std::uint32_t>(200 + zone), 1)));
  }
  registry.put("op/config", manifest);
  balancers.start_all();
  for (const auto& callers : clients) {
    for (std::int64_t time = lead_ms; time < end_ms; time += 1000 / claims_per_s) {
      loop.at(start + time, [&callers] { callers->request(route_address, claim_port, budget_ms, 2); });
    }
    for (std::int64_t time = lead_ms; time < end_ms; time += 1000 / reports_per_s) {
      loop.at(start + time, [&callers] { callers->request(route_address, report_port, budget_ms, 2); });
    }
  }
  for (unsigned count = 0; count < copies; ++count) {
    host& one = hosts[count * (claim_hosts_per_zone + 1) + 1]; // A host of claims, in each zone in turn.
    const std::int64_t time = start + first_copy_ms + copy_interval_ms * count;
    if (drains) {
      loop.at(time - copy_after_leaving_ms, [&] {
        left_at[one.id()] = now_ms();
        one.leave(serving_ms);
        std::fprintf(record, "%6.3f s: %s reports that it leaves\n", seconds(), one.id().c_str());
      });
    }
    if (trouble) {
      loop.at(time, [&] {
        loop.at(one.last_heartbeat() + heartbeat_ms + copy_after_heartbeat_ms, [&] {
          std::string copy = replace(one.entry(), R"("version":"v1",)", "");
          copy = drains ? replace(copy, "draining", "ready") : replace(copy, "claims", "reports");
          registry.put("servers/" + one.id(), copy);
          std::fprintf(record,
                       "%6.3f s: another writer replaces the entry of %s: %s\n",
                       seconds(),
                       one.id().c_str(),
                       copy.c_str());
        });
      });
    }
  }
  loop.run_until(start + lead_ms);
  if (balancers.ready() != balancers.machines().size()) {
    std::fprintf(stderr, "only %zu daemons are ready\n", balancers.ready());
    return 2;
  }
  loop.run_until(start + end_ms + budget_ms);

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
  const bool broken = drains ? late_openings > 0 : wrong_service > 0;
  std::fprintf(
    record,
    "requests run: %u, by a service to which no manifest sends them: %u; flows that a leaving host got later than %lld "
    "ms: %u\n",
    run,
    wrong_service,
    static_cast<long long>(drain_ms),
    late_openings);
  std::fprintf(record, "%s %s\n", drains ? "DRAIN" : "ROUTE", run == 0 ? "could not run" : broken ? "broken" : "held");
  std::fclose(record);
  return run == 0 ? 2 : broken ? 1 : 0;
}
