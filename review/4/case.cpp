#include "../stand_ins/deployment.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr auto roll_gap = 2s;
constexpr std::size_t ends_that_count = 3;     // RULES.md, "Fault": three times in the day,
constexpr std::size_t machines_that_count = 2; // on a tenth of the machines in use, two at least.

int
play(const case_arguments& arguments)
{
  deployment here(arguments, 0);
  const endpoint feed{ address_number(here.prefix + "250.1"), 443 };
  const std::vector<std::string> zones = { "almaty-a", "almaty-b", "almaty-c" };
  here.records.put("op/config", manifest(7, { { "r-feed", feed, "idempotent", "link" } }, { "link" }));
  for (std::size_t index = 0; index < zones.size(); ++index) {
    const std::string number = std::to_string(index + 1);
    here.traffic.add_host("i-a0b1c2d" + number, "link", zones[index], here.prefix + "20." + number, 8080, 2000);
    here.traffic.add_client(here.prefix + "30." + number, zones[index]);
  }
  here.daemons.start();
  here.traffic.start();
  if (!wait_until([&here] { return here.daemons.all_ready(); }, 15s)) {
    std::cerr << "the daemons are not ready\n";
    return could_not_run;
  }
  const auto serve = [&here, &feed](std::chrono::milliseconds time) {
    const std::size_t before = here.traffic.answered();
    const auto end = steady::now() + time;
    while (steady::now() < end) {
      here.traffic.open_flow(feed, 1s);
      here.traffic.close_flows(feed, 1);
      std::this_thread::sleep_for(20ms);
    }
    return here.traffic.answered() - before;
  };
  const std::size_t answered_before = serve(3s);
  // The settings change while the daemons run, as a whole number or as a fraction.
  here.daemons.change_settings("bounds.grace-s", arguments.trouble ? "6.5" : "7");
  for (std::size_t index = 0; index < here.daemons.machines().size(); ++index) {
    here.daemons.signal(index, SIGHUP);
  }
  serve(3s);
  // Planned work: the machines are stopped and started in turn.
  for (std::size_t index = 0; index < here.daemons.machines().size(); ++index) {
    here.daemons.signal(index, SIGTERM);
    serve(roll_gap);
  }
  serve(8s);
  const std::size_t answered_after = serve(5s);
  std::size_t machines = 0;
  for (std::size_t index = 0; index < here.daemons.machines().size(); ++index) {
    // Started at first, again after the planned stop, and again after each end of its own.
    machines += here.daemons.starts(index) >= 2 + ends_that_count ? 1 : 0;
  }
  const std::string summary = "requests answered in 3 s before " + std::to_string(answered_before) +
                              ", in 5 s after the machines were stopped and started in turn " +
                              std::to_string(answered_after) +
                              ", machines whose processes ended by themselves three times " + std::to_string(machines) +
                              " of " + std::to_string(here.daemons.machines().size());
  here.record.line(summary);
  std::cout << summary << "\n";
  if (answered_before == 0) {
    return could_not_run;
  }
  return machines >= machines_that_count ? rule_broken : rule_held;
}

}

int
main(int argc, char** argv)
{
  return run_case(argc, argv, play);
}
