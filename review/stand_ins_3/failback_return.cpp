// A zone is taken back while its hosts are cold, and the clients open flows again.

#include "failback.h"

using namespace review;

namespace {

constexpr double warmup_s = 8;
constexpr double warmup_per_s = 60;
constexpr double warmup_factor = 1.5;
constexpr double warmup_slack = 5;
constexpr double bound = warmup_per_s * warmup_factor + warmup_slack;
constexpr double work_s = 0.1;
constexpr double bears = 1.1; ///< The host falls over at a tenth more than the rule allows.

bool
rule_held()
{
  world place(world_options{});
  const std::uint32_t route = place.address(90, 1);
  constexpr std::uint16_t port = 443;
  place.records.put("op/config",
                    manifest(3,
                             route_entry("cards", to_text(route), port, "non_idempotent", "card-print"),
                             service_entry("card-print", warmup_s, warmup_per_s)));
  host& old_host = place.add_host("card-print", "almaty-a");
  old_host.publish();
  place.start_daemons();
  client& callers = *place.clients.front();
  callers.route = route;
  callers.route_port = port;
  place.at(4, [&] { callers.rate = 250; });
  place.at(7, [&] {
    place.note("the operator evacuates almaty-a");
    place.records.put("op/evacuate/almaty-a", "{}");
  });
  if (with_trouble()) {
    place.at(8, [&] {
      old_host.draining = true;
      old_host.publish();
    });
    place.at(12, [&] {
      place.records.remove("servers/" + old_host.id());
      old_host.reaches_store = false;
      host& new_host = place.add_host("card-print", "almaty-a");
      new_host.work_s = work_s;
      new_host.cold_limit = bears * bound;
      new_host.start_cold(warmup_s);
      place.note("host " + new_host.id() + " replaces " + old_host.id() + " and is cold");
    });
  }
  place.at(14, [&] {
    place.note("the operator takes almaty-a back");
    place.records.remove("op/evacuate/almaty-a");
  });
  place.run_until(22);
  place.write_accounts();
  const std::size_t most = most_in_one_second_of_cold_hosts(place);
  place.note("FAILBACK: at most " + std::to_string(most) + ", bound " + std::to_string(bound));
  std::size_t answered = 0;
  std::size_t lost = 0;
  for (const auto& one : place.hosts) {
    lost += one->lost;
  }
  std::printf("FAILBACK: at most %zu opening packets in one second at a cold host, bound %.0f; %zu requests lost\n",
              most,
              bound,
              lost);
  for (const auto& [flow, attempt] : callers.attempts) {
    answered += attempt.outcome == "answered" ? 1 : 0;
  }
  if (answered < 100) {
    throw cannot_run("hardly anything was served");
  }
  return static_cast<double>(most) <= bound;
}

}

int
main()
{
  return run_case(rule_held);
}
