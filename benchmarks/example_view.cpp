#include "example_view.h"

#include <array>

namespace coltsfootlock::benchmark {

namespace {

struct domain_size
{
  const char* name;
  int entries;
  int targets;
};

constexpr std::array sizes{ domain_size{ "a", 3, 5 }, domain_size{ "b", 3, 5 }, domain_size{ "c", 2, 4 } };

void
add_domain(const domain_size& size, catalogue& services, vm_list& vms)
{
  services.failure_domains.push_back({ size.name, true });
  for (int index = 0; index < size.entries; ++index) {
    const auto port = static_cast<std::uint16_t>(1000 + 10 * vms.entries.size());
    vms.entries.push_back({ std::string(size.name) + "-entry-" + std::to_string(index),
                            size.name,
                            false,
                            { 0x7f000001, port },
                            { 0x7f000001, static_cast<std::uint16_t>(port + 1) },
                            { 0x7f000001, static_cast<std::uint16_t>(port + 2) } });
  }
  for (int index = 0; index < size.targets; ++index) {
    const auto port = static_cast<std::uint16_t>(5000 + 10 * vms.targets.size());
    vms.targets.push_back({ std::string(size.name) + "-target-" + std::to_string(index),
                            size.name,
                            false,
                            "shops",
                            { 0x7f000001, port },
                            { 0x7f000001, static_cast<std::uint16_t>(port + 1) },
                            1 });
  }
}

}

std::shared_ptr<const routing_view>
example_view(instant now)
{
  catalogue services;
  services.version = 1;
  service shops;
  shops.name = "shops";
  shops.address = example_service;
  shops.target_group = "shops";
  shops.limits = { 1000, 100000000, 1000, 100000000, 0 };
  services.services.push_back(shops);
  vm_list vms;
  vms.version = 1;
  for (const domain_size& size : sizes) {
    add_domain(size, services, vms);
  }
  auto view = std::make_shared<routing_view>();
  view->sequence = 1;
  view->self = "a-entry-0";
  view->domain = "a";
  view->boot_id = 1;
  view->state = daemon_state::serving;
  view->services = std::make_shared<const catalogue>(services);
  view->vms = std::make_shared<const vm_list>(vms);
  entry_set set;
  for (const entry_vm& vm : vms.entries) {
    view->domains[vm.domain].members.push_back({ vm, true, daemon_state::serving, {} });
    if (vm.domain == view->domain) {
      set.members.push_back(vm.id);
    }
  }
  for (const failure_domain& domain : services.failure_domains) {
    set.key_domains.push_back(domain.name);
  }
  for (const target_vm& vm : vms.targets) {
    view->targets[vm.id] = { vm, false, 1, now - std::chrono::hours(1) };
  }
  view->spending_sets = { set };
  view->ownership = { { now - std::chrono::hours(1), set } };
  view->spend_from = now - std::chrono::hours(1);
  view->spend_authority_until = now + std::chrono::hours(24);
  view->key_authority_until = now + std::chrono::hours(24);
  return view;
}

}
