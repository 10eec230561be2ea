#include "routing_index.h"

namespace coltsfootlock {

namespace {

template<typename Value>
Value&
grow_to(std::vector<Value>& values, std::uint32_t id)
{
  if (values.size() <= id) {
    values.resize(id + 1);
  }
  return values[id];
}

}

void
routing_index::set_view(const routing_view& view, name_registry& names)
{
  for (auto& [address, group] : groups_) {
    group = name_registry::none;
  }
  for (const service& entry : view.services->services) {
    groups_[key_of(entry.address)] = names.intern(entry.target_group);
  }
  for (target& entry : targets_) {
    entry.listed = false;
  }
  for (const target_vm& vm : view.vms->targets) {
    target& entry = grow_to(targets_, names.intern(vm.id));
    entry = { vm.packet_address, names.intern(vm.target_group), names.intern(vm.domain), true, true };
  }
  for (daemon& entry : daemons_) {
    entry.listed = false;
  }
  for (const entry_vm& vm : view.vms->entries) {
    grow_to(daemons_, names.intern(vm.id)) = { vm.peer_address, names.intern(vm.domain), true, true };
  }
}

std::uint32_t
routing_index::group_of(const endpoint& service) const
{
  const auto found = groups_.find(key_of(service));
  return found == groups_.end() ? name_registry::none : found->second;
}

bool
routing_index::had_service(const endpoint& service) const
{
  const auto found = groups_.find(key_of(service));
  return found != groups_.end() && found->second == name_registry::none;
}

const routing_index::target&
routing_index::target_of(std::uint32_t id) const
{
  static const target absent;
  return id < targets_.size() ? targets_[id] : absent;
}

const routing_index::daemon&
routing_index::daemon_of(std::uint32_t id) const
{
  static const daemon absent;
  return id < daemons_.size() ? daemons_[id] : absent;
}

}
