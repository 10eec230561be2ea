// Another writer replaces entries of hosts, within 0.1 s of each heartbeat, by copies without `born` while the daemons
// are stopped and started in turn.

#include "world.h"

using namespace review;

namespace {

constexpr double write_interval_s = 0.1;
constexpr double first_stop = 8;
constexpr double stop_interval_s = 2;
constexpr double work_s = 0.15;

/// A copy of the entry without `born` that names another service.
std::string
odd_copy(std::string entry, const std::string& service, const std::string& other)
{
  entry.erase(entry.find(",\"born\""));
  entry += "}";
  return replace_all(entry, "\"" + service + "\"", "\"" + other + "\"");
}

bool
rule_held()
{
  const std::string links = "franchise-link";
  const std::string cards = "card-print";
  world place(world_options{});
  const std::uint32_t route = place.address(90, 1);
  constexpr std::uint16_t links_port = 8080;
  constexpr std::uint16_t cards_port = 8443;
  place.records.put("op/config",
                    manifest(3,
                             route_entry("confirm", to_text(route), links_port, "non_idempotent", links) + "," +
                               route_entry("card", to_text(route), cards_port, "download", cards),
                             service_entry(links, 2, 0) + "," + service_entry(cards, 2, 0)));
  std::vector<host*> replaced;
  for (const std::string& zone : place.options().zones) {
    for (int count = 0; count < 3; ++count) {
      place.add_host(links, zone).publish();
    }
    for (int count = 0; count < 2; ++count) {
      replaced.push_back(&place.add_host(cards, zone));
      replaced.back()->publish();
    }
  }
  for (const auto& one : place.hosts) {
    one->work_s = work_s;
  }
  place.start_daemons();
  for (const auto& one : place.clients) {
    one->route = route;
    one->route_port = links_port;
  }
  place.at(4, [&] {
    for (const auto& one : place.clients) {
      one->rate = 120;
    }
  });
  double when = first_stop;
  for (int round = 0; round < 2; ++round) {
    for (const auto& one : place.daemons) {
      place.at(when, [&one] { one->restart(); });
      when += stop_interval_s;
    }
  }
  const double end = when + 8;
  if (with_trouble()) {
    const int writes = static_cast<int>((end - 2 - first_stop) / write_interval_s);
    for (int write = 0; write < writes; ++write) {
      place.at(first_stop + write * write_interval_s, [&place, &replaced, &links, &cards] {
        for (host* one : replaced) {
          const std::string key = "servers/" + one->id();
          const std::string entry = place.records.value(key);
          if (entry.find("\"born\"") != std::string::npos) {
            place.records.put(key, odd_copy(entry, cards, links));
            place.note("another writer replaces the entry of host " + one->id());
          }
        }
      });
    }
  }
  place.run_until(end);
  place.write_accounts();
  std::size_t foreign = 0;
  std::size_t own = 0;
  for (const auto& one : place.hosts) {
    for (const host::opening& opening : one->openings) {
      const bool right = (opening.flow.route_port == links_port) == (one->service() == links);
      ++(right ? own : foreign);
    }
  }
  std::size_t answered = 0;
  for (const auto& one : place.clients) {
    for (const auto& [flow, attempt] : one->attempts) {
      answered += attempt.outcome == "answered" ? 1 : 0;
    }
  }
  char text[200];
  std::snprintf(text,
                sizeof(text),
                "ROUTE: hosts took %zu flows of their service and %zu of a route that never led to it; %zu answered",
                own,
                foreign,
                answered);
  place.note(text);
  std::printf("%s\n", text);
  if (own < 100) {
    throw cannot_run("hardly anything was served");
  }
  return foreign == 0;
}

}

int
main()
{
  return run_case(rule_held);
}
