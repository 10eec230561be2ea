// The store ends the waiting watches once, and a second later the entry of a service's only host expires.

#include "world.h"

using namespace review;

namespace {

constexpr double drain_s = 3;
constexpr double partitioned_at = 10;
constexpr double cut_at = 11.3; ///< About a second before the entry expires.

bool
rule_held()
{
  world place(world_options{});
  const std::uint32_t route = place.address(90, 1);
  constexpr std::uint16_t port = 443;
  place.records.put("op/config",
                    manifest(3,
                             route_entry("cards", to_text(route), port, "download", "card-print"),
                             service_entry("card-print", 2, 0)));
  host& only = place.add_host("card-print", "almaty-a");
  only.publish();
  place.start_daemons();
  client& callers = *place.clients.front();
  callers.route = route;
  callers.route_port = port;
  place.at(4, [&] { callers.rate = 50; });
  if (with_trouble()) {
    place.at(cut_at, [&] {
      std::size_t cut = 0;
      for (const auto& one : place.store_servers) {
        cut += one->cut_waiting();
      }
      place.note("the store ends " + std::to_string(cut) + " waiting watches");
    });
  }
  double gone_at = 0;
  place.at(partitioned_at, [&] {
    place.note("host " + only.id() + " is partitioned from the store");
    only.reaches_store = false;
  });
  constexpr int looks = 600;
  for (int look = 0; look < looks; ++look) {
    place.at(partitioned_at + look * 0.01, [&] {
      if (gone_at == 0 && !place.records.has("servers/" + only.id())) {
        gone_at = place.now();
      }
    });
  }
  place.run_until(28);
  place.write_accounts();
  if (gone_at == 0) {
    throw cannot_run("the entry did not expire");
  }
  std::size_t before = 0;
  std::size_t late = 0;
  double last = 0;
  for (const host::opening& one : only.openings) {
    before += one.arrived < gone_at ? 1 : 0;
    late += one.arrived > gone_at + drain_s && one.sent > gone_at ? 1 : 0;
    last = std::max(last, one.arrived);
  }
  char text[200];
  std::snprintf(text,
                sizeof(text),
                "DRAIN: the entry was removed at %.3f; %zu opening packets reached the host later than %.1f s after "
                "that, the last at %.3f",
                gone_at,
                late,
                drain_s,
                last);
  place.note(text);
  std::printf("%s\n", text);
  if (before < 100) {
    throw cannot_run("hardly anything was served");
  }
  return late == 0;
}

}

int
main()
{
  return run_case(rule_held);
}
