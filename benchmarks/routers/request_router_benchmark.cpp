#include "coltsfootlock/coordination/request_router.h"

#include <chrono>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace coltsfootlock;

namespace {

struct fleet_size
{
  const char* name;
  std::size_t domains;
  std::size_t daemons; ///< Per domain.
  std::size_t targets; ///< Per domain.
  std::size_t services;
};

routing_view
view_of(const fleet_size& size)
{
  auto services = std::make_shared<catalogue>();
  for (std::size_t index = 0; index < size.services; ++index) {
    service each;
    each.name = "service-" + std::to_string(index);
    each.address = { 10, static_cast<std::uint16_t>(index + 1) };
    each.target_group = "group-" + std::to_string(index);
    // Shares of a large domain would be 0 with fewer slots than daemons.
    each.limits = { static_cast<std::uint32_t>(4 * size.daemons), 2000, 1, 1, 0 };
    services->services.push_back(each);
  }
  routing_view view;
  view.services = services;
  auto list = std::make_shared<vm_list>();
  view.vms = list;
  view.boot_id = 1;
  entry_set set;
  for (std::size_t domain = 0; domain < size.domains; ++domain) {
    const std::string name = "domain-" + std::to_string(100 + domain);
    set.key_domains.push_back(name);
    for (std::size_t index = 0; index < size.daemons; ++index) {
      const vm_id id = name + "-entry-" + std::to_string(100 + index);
      view.domains[name].members.push_back({ { id, name, false, {}, {}, {} }, true, daemon_state::serving, {} });
      if (domain == 0) {
        set.members.push_back(id);
      }
    }
    for (std::size_t index = 0; index < size.targets; ++index) {
      const vm_id id = name + "-target-" + std::to_string(1000 + index);
      const std::string group = "group-" + std::to_string(index % size.services);
      view.targets[id].vm = { id, name, false, group, { 20, static_cast<std::uint16_t>(index + 1) }, {}, 1 };
      list->targets.push_back(view.targets[id].vm);
    }
  }
  view.domain = set.key_domains.front();
  view.self = set.members.front();
  view.spending_sets = { set };
  view.ownership = { { instant(), set } };
  view.spend_authority_until = instant(seconds(1000000));
  view.key_authority_until = view.spend_authority_until;
  return view;
}

double
nanoseconds_since(std::chrono::steady_clock::time_point start, std::size_t count)
{
  const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
  return elapsed.count() / static_cast<double>(count);
}

void
measure(const fleet_size& size)
{
  routing_view view = view_of(size);
  traffic_counters counters;
  request_router router(timing(), 1, counters);
  std::vector<traffic_action> actions;
  instant now{ seconds(1000) };

  view.sequence = 1;
  const auto published = std::make_shared<const routing_view>(view);
  router.set_view(published, now, actions);
  constexpr std::size_t views = 50;
  auto start = std::chrono::steady_clock::now();
  for (std::size_t index = 0; index < views; ++index) {
    router.set_view(published, now, actions);
    router.tick(now, actions);
  }
  const double view_us = nanoseconds_since(start, views) / 1000;

  constexpr std::size_t requests = 300000;
  std::size_t own = 0;
  for (const bool keyed : { false, true }) {
    // In steps, because a gap would count as a pause of the process.
    for (int step = 0; step < 100; ++step) {
      now += milliseconds(100);
      router.tick(now, actions);
    }
    start = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < requests; ++index) {
      request_packet request;
      request.flow = { { static_cast<std::uint32_t>(index), 1 },
                       { 10, static_cast<std::uint16_t>(1 + index % size.services) } };
      request.request_id = index;
      request.idempotency_key = keyed ? "key-" + std::to_string(index) : "";
      request.deadline_ms = 1000;
      request.payload = std::string(200, 'x');
      now += std::chrono::microseconds(1);
      actions.clear();
      router.on_caller_packet(request, now, actions);
      const auto* run = actions.empty() ? nullptr : std::get_if<send_to_target>(&actions.front());
      if (run == nullptr) {
        continue;
      }
      ++own;
      const request_packet sent = std::get<request_packet>(run->content);
      const std::size_t target = run->address.port + 999U;
      actions.clear();
      router.on_target_packet(view.domain + "-target-" + std::to_string(target),
                              answer_packet{ sent.flow, sent.request_id, 1, sent.run_id, 0, 1, {}, sent.payload },
                              now,
                              actions);
    }
    std::printf("%s: %s request %.0f ns, %.0f%% run here\n",
                size.name,
                keyed ? "keyed" : "idempotent",
                nanoseconds_since(start, requests),
                100.0 * static_cast<double>(own) / requests);
    own = 0;
  }
  std::printf("%s: view %.0f us, answered %llu\n",
              size.name,
              view_us,
              static_cast<unsigned long long>(counters.requests_answered));
}

}

int
main()
{
  measure({ "lisboa", 4, 3, 5, 2 });
  measure({ "two-year", 28, 57, 464, 200 });
}
