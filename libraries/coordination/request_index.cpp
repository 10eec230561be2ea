#include "request_index.h"

#include <algorithm>
#include <iterator>

namespace coltsfootlock {

void
request_index::rebuild(const routing_view& view)
{
  // Every heartbeat brings a new view, but rarely a new catalogue or list. A region lists thousands of targets, so
  // their tables are rebuilt only on a change.
  if (catalogue_ != view.services || list_ != view.vms) {
    rebuild_services(view);
    rebuild_listed_targets(view);
    catalogue_ = view.services;
    list_ = view.vms;
  }
  rebuild_peers(view);
  rebuild_targets(view);
  rebuild_domains(view);
}

request_index::service_entry*
request_index::find_service(const endpoint& address)
{
  const auto found = services_.find(address);
  return found == services_.end() ? nullptr : &found->second;
}

std::optional<std::size_t>
request_index::find_peer(const vm_id& id) const
{
  const auto found = peer_ids_.find(id);
  return found == peer_ids_.end() ? std::nullopt : std::optional(found->second);
}

std::uint32_t
request_index::intern_group(const std::string& name)
{
  const auto [position, added] = group_ids_.try_emplace(name, static_cast<std::uint32_t>(groups_.size()));
  if (added) {
    groups_.emplace_back().name = name;
  }
  return position->second;
}

void
request_index::rebuild_services(const routing_view& view)
{
  services_.clear();
  limits_.clear();
  for (const service& each : view.services->services) {
    const std::uint32_t group = intern_group(each.target_group);
    services_[each.address] = { each, group, &budgets_[each.name] };
    limits_[group] = each.limits;
  }
}

void
request_index::rebuild_listed_targets(const routing_view& view)
{
  own_targets_.clear();
  listed_by_domain_.assign(groups_.size(), {});
  for (const target_vm& target : view.vms->targets) {
    const auto group = group_ids_.find(target.target_group);
    if (group == group_ids_.end()) {
      continue;
    }
    listed_by_domain_[group->second][target.domain] += target.leaving ? 0 : 1;
    if (target.domain == view.domain) {
      own_targets_.emplace_back(target.id, group->second);
    }
  }
}

void
request_index::rebuild_peers(const routing_view& view)
{
  peers_.clear();
  peer_ids_.clear();
  for (request_group& group : groups_) {
    group.peer_free_slots.clear();
  }
  std::size_t domain_position = 0;
  for (const auto& [name, domain] : view.domains) {
    for (const member_view& member : domain.members) {
      if (member.vm.id == view.self) {
        continue;
      }
      request_peer peer{ member.vm.id, member.vm.peer_address, domain_position, domain.in_service };
      peer.reachable = member.alive && domain.in_service;
      peer.accepts_requests = peer.reachable && member.state == daemon_state::serving;
      peer_ids_[peer.id] = peers_.size();
      peers_.push_back(std::move(peer));
      for (request_group& group : groups_) {
        group.peer_free_slots.resize(peers_.size());
      }
      for (const group_capacity& capacity : member.capacity) {
        const auto group = group_ids_.find(capacity.target_group);
        if (group != group_ids_.end()) {
          groups_[group->second].peer_free_slots.back() = capacity.free_slots;
        }
      }
    }
    ++domain_position;
  }
}

void
request_index::rebuild_targets(const routing_view& view)
{
  if (!sets_ || *sets_ != view.spending_sets) {
    sets_ = std::make_shared<const std::vector<entry_set>>(view.spending_sets);
  }
  for (request_group& group : groups_) {
    group.targets.clear();
  }
  for (auto& [id, target] : targets_) {
    target.mark_unlisted();
  }
  for (const auto& [id, group] : own_targets_) {
    const auto target = view.targets.find(id);
    if (target == view.targets.end()) {
      continue;
    }
    target_admission& admission = targets_[id];
    admission.update(target->second, limits_[group], view.self, sets_);
    groups_[group].targets.push_back(&admission);
  }
  std::erase_if(targets_, [](const auto& entry) { return !entry.second.listed() && entry.second.in_flight() == 0; });
}

void
request_index::rebuild_domains(const routing_view& view)
{
  const auto own = view.domains.find(view.domain);
  own_in_service_ = own != view.domains.end() && own->second.in_service;
  own_domain_ = static_cast<std::size_t>(std::distance(view.domains.begin(), own));

  std::vector<domain_choice::domain_load> loads(view.domains.size());
  std::vector<bool> usable(view.domains.size());
  domain_positions_.clear();
  for (const auto& [name, domain] : view.domains) {
    const std::size_t position = domain_positions_.size();
    domain_positions_[name] = position;
    usable[position] = domain.in_service && position == own_domain_;
    for (const member_view& member : domain.members) {
      const bool self = member.vm.id == view.self;
      const bool receives = self || (member.alive && member.state != daemon_state::leaving);
      loads[position].entries += receives ? 1 : 0;
    }
  }
  for (const request_peer& peer : peers_) {
    usable[peer.domain] = usable[peer.domain] || peer.accepts_requests;
  }
  for (std::size_t index = 0; index < groups_.size(); ++index) {
    rebuild_choice(groups_[index], listed_by_domain_[index], usable, loads);
  }
}

void
request_index::rebuild_choice(request_group& group,
                              const std::map<std::string, std::uint32_t>& listed,
                              const std::vector<bool>& usable,
                              std::vector<domain_choice::domain_load> loads)
{
  group.has_capacity.assign(loads.size(), false);
  for (const auto& [domain, count] : listed) {
    const auto position = domain_positions_.find(domain);
    if (position != domain_positions_.end() && usable[position->second]) {
      loads[position->second].capacity = count;
    }
  }
  if (own_domain_ < loads.size() && usable[own_domain_]) {
    // Leaving targets are reported to daemons of their own domain only.
    loads[own_domain_].capacity = static_cast<double>(
      std::count_if(group.targets.begin(), group.targets.end(), [](const auto* target) { return !target->leaving(); }));
  }
  for (std::size_t domain = 0; domain < loads.size(); ++domain) {
    group.has_capacity[domain] = loads[domain].capacity > 0;
  }
  group.domains = domain_choice(loads, own_domain_);
}

}
