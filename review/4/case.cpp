#include "../stand_ins/deployment.h"

#include <chrono>
#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t max_connections = 2000;
constexpr auto back_time = 250ms; // back-ms
constexpr auto request_interval = 4s;
constexpr std::size_t hosts_of_old_service = 2;
constexpr std::size_t usual_flows = 2400;
constexpr std::size_t extra_flows = 1600; // 1.67 times the usual flows in all.
constexpr auto burst_begin = 1s;
constexpr auto burst_length = 3s;

/// Flows that run at the old service although their opening packet was sent more than `back_time` after a host of the
/// new service took one through the same daemon.
std::size_t
count_regressions(deployment& here,
                  const std::string& old_service,
                  const std::string& new_service,
                  const endpoint& route)
{
  const std::vector<taken_open> all_taken = here.traffic.taken_opens();
  const auto opens = here.traffic.sent_opens();
  const auto runs = here.traffic.runs();
  std::map<std::size_t, steady::time_point> effects; // By daemon.
  for (const taken_open& taken : all_taken) {
    if (taken.service == new_service && taken.flow.route == route) {
      effects.try_emplace(opens.at(taken.flow).at(taken.copy).daemon, taken.at);
    }
  }
  std::size_t result = 0;
  for (const taken_open& taken : all_taken) {
    const sent_open& sent = opens.at(taken.flow).at(taken.copy);
    const auto effect = effects.find(sent.daemon);
    const auto run = runs.find(taken.flow);
    if (taken.service != old_service || taken.flow.route != route || effect == effects.end() || run == runs.end() ||
        run->second != old_service || sent.at <= effect->second + back_time) {
      continue;
    }
    ++result;
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(sent.at - effect->second);
    here.record.line("CONFIG: flow " + to_string(taken.flow.client) + " runs at " + taken.host +
                     " of the old service; " + "copy " + std::to_string(taken.copy) +
                     " of its first packet was sent through " + here.daemons.machines()[sent.daemon].name + " " +
                     std::to_string(late.count()) + " ms after a host saw the new version through it");
  }
  return result;
}

int
play(const case_arguments& arguments)
{
  deployment here(arguments, 0);
  const endpoint feed{ address_number(here.prefix + "250.1"), 443 };
  const std::vector<std::string> services = { "old-link", "new-link" };
  const std::vector<std::string> zones = { "almaty-a", "almaty-b", "almaty-c" };
  here.records.put("op/config", manifest(7, { { "r-feed", feed, "idempotent", "old-link" } }, services));
  for (std::size_t index = 0; index < hosts_of_old_service; ++index) {
    const std::string number = std::to_string(index + 1);
    here.traffic.add_host("i-a0b1c2d" + number,
                          "old-link",
                          zones[index],
                          here.prefix + "20." + number,
                          here.used_ports.host,
                          max_connections);
    here.traffic.add_host("i-e0f1a2b" + number,
                          "new-link",
                          zones[index],
                          here.prefix + "21." + number,
                          here.used_ports.host,
                          max_connections);
  }
  for (int index = 0; index < 30; ++index) {
    here.traffic.add_client(here.prefix + "30." + std::to_string(index + 1),
                            zones[static_cast<std::size_t>(index) % 3]);
  }
  here.daemons.start();
  here.traffic.start();
  if (!wait_until([&here] { return here.daemons.all_ready(); }, 15s)) {
    std::cerr << "the daemons are not ready\n";
    return could_not_run;
  }
  // Users that keep a flow open for many requests use 60% of the connections.
  const auto open_some = [&here, &feed](std::size_t count) {
    for (; count > 0; --count) {
      here.traffic.open_flow(feed, request_interval);
    }
  };
  const auto fill_end = steady::now() + 20s;
  for (std::size_t opened = 0; opened < usual_flows; opened += 8) {
    open_some(8);
    std::this_thread::sleep_for(10ms);
  }
  if (!wait_until([&here, &feed] { return here.traffic.open_flows(feed) >= usual_flows; }, 5s) ||
      steady::now() > fill_end) {
    std::cerr << "the usual flows do not open\n";
    return could_not_run;
  }
  here.record.line("open flows: " + std::to_string(here.traffic.open_flows(feed)));
  // Users come and go, 400 a second. With trouble, 1.7 times as many come for three seconds. 1.7 seconds later the
  // operator moves the route to the other service.
  const auto begin = steady::now();
  std::size_t extra = 0;
  bool moved = false;
  for (int step = 0; steady::now() - begin < 6s; ++step) {
    const auto passed = steady::now() - begin;
    const bool burst = arguments.trouble && passed > burst_begin && passed < burst_begin + burst_length;
    here.traffic.close_flows(feed, 2);
    open_some(!burst ? 2 : step % 10 < 4 ? 4 : 3);
    if (burst && extra < extra_flows) {
      open_some(10);
      extra += 10;
    }
    if (!moved && passed > burst_begin + 1700ms) {
      here.record.line("open flows: " + std::to_string(here.traffic.open_flows(feed)));
      here.record.line("the operator moves the route from old-link to new-link, version 9");
      here.records.put("op/config", manifest(9, { { "r-feed", feed, "idempotent", "new-link" } }, services));
      moved = true;
    }
    std::this_thread::sleep_for(5ms);
  }
  const std::size_t regressions = count_regressions(here, "old-link", "new-link", feed);
  const std::string summary = "open flows " + std::to_string(here.traffic.open_flows(feed)) + ", requests answered " +
                              std::to_string(here.traffic.answered()) + ", attempts failed " +
                              std::to_string(here.traffic.failed()) + ", flows that run at the old service too late " +
                              std::to_string(regressions);
  here.record.line(summary);
  std::cout << summary << "\n";
  if (here.traffic.answered() == 0) {
    return could_not_run;
  }
  return regressions > 0 ? rule_broken : rule_held;
}

}

int
main(int argc, char** argv)
{
  return run_case(argc, argv, play);
}
