#include "service_guard.h"

#include "coltsfootlock/coordination/invariant.h"

namespace coltsfootlock {

std::uint64_t
service_guard::key_of(const endpoint& value)
{
  return (std::uint64_t{ value.address } << 16U) | value.port;
}

void
service_guard::set_view(const routing_view& view)
{
  // Group numbers are kept when the view changes, so that a name always has the same number.
  const auto number_of = [&](const std::string& group) {
    return groups_.try_emplace(group, static_cast<std::uint32_t>(groups_.size())).first->second;
  };
  group_of_service_.clear();
  for (const service& entry : view.services->services) {
    group_of_service_[key_of(entry.address)] = number_of(entry.target_group);
  }
  targets_.clear();
  for (const auto& [id, target] : view.targets) {
    const auto domain = view.domains.find(target.vm.domain);
    const bool in_service = domain != view.domains.end() && domain->second.in_service;
    targets_[key_of(target.vm.packet_address)] = { number_of(target.vm.target_group), in_service };
  }
}

bool
service_guard::allows(const send_to_target& action) const
{
  const endpoint& service_address = flow_of(action.content).service;
  const auto group = group_of_service_.find(key_of(service_address));
  const auto target = targets_.find(key_of(action.address));
  const bool own_service =
    group != group_of_service_.end() && target != targets_.end() && target->second.group == group->second;
  if (!own_service) {
    return check_invariant(
      false, "packet_reaches_own_service", to_string(service_address) + " to target " + to_string(action.address));
  }
  return check_invariant(target->second.in_service, "no_packet_to_a_domain_out", "target " + to_string(action.address));
}

}
