#include "flow_order.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <map>

namespace coltsfootlock {

flow_order::flow_order(const routing_view& view, name_registry& names)
{
  for (const auto& [name, value] : view.domains) {
    domain added;
    added.id = names.intern(name);
    added.name = &names.name(added.id);
    added.in_service = value.in_service;
    for (const member_view& listed : value.members) {
      const bool self = listed.vm.id == view.self;
      const daemon_state state = self ? view.state : listed.state;
      const std::uint32_t id = names.intern(listed.vm.id);
      added.members.push_back({ id,
                                &names.name(id),
                                self || listed.alive,
                                listed.vm.leaving || state == daemon_state::leaving,
                                state == daemon_state::starting });
    }
    domains_.push_back(std::move(added));
  }
  add_weights(view, names);
}

// Counts only the targets in the VM list. The states that targets report are available only inside their domain, and
// the order has to be equal in all domains.
void
flow_order::add_weights(const routing_view& view, name_registry& names)
{
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::size_t> counts;
  for (const target_vm& target : view.vms->targets) {
    if (!target.leaving) {
      ++counts[{ names.intern(target.target_group), names.intern(target.domain) }];
    }
  }
  for (const service& entry : view.services->services) {
    const std::uint32_t group = names.intern(entry.target_group);
    std::vector<double> weights;
    for (const domain& value : domains_) {
      const auto found = counts.find({ group, value.id });
      const std::size_t targets = found == counts.end() ? 0 : found->second;
      weights.push_back(static_cast<double>(targets) * entry.limits.connections);
    }
    weights_[group] = std::move(weights);
  }
}

const flow_order::domain*
flow_order::find(std::uint32_t id) const
{
  const auto found =
    std::find_if(domains_.begin(), domains_.end(), [id](const domain& value) { return value.id == id; });
  return found == domains_.end() ? nullptr : &*found;
}

double
flow_order::weight_of(std::uint32_t group, std::size_t index) const
{
  const auto found = weights_.find(group);
  return found == weights_.end() ? 0.0 : found->second[index];
}

flow_order::scored_domain
flow_order::score(std::size_t index, std::uint32_t group, std::uint64_t flow_hash) const
{
  const std::uint64_t hash = rendezvous_score(flow_hash, *domains_[index].name);
  return { weighted_rendezvous_score(hash, weight_of(group, index)), hash, &domains_[index] };
}

bool
flow_order::precedes(const scored_domain& left, const scored_domain& right)
{
  if (left.score != right.score) {
    return left.score > right.score;
  }
  if (left.hash != right.hash) {
    return left.hash > right.hash;
  }
  return *left.value->name < *right.value->name;
}

std::uint32_t
flow_order::first_domain(std::uint32_t group, std::uint64_t flow_hash) const
{
  scored_domain best;
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    if (!domains_[index].in_service || weight_of(group, index) <= 0) {
      continue;
    }
    const scored_domain candidate = score(index, group, flow_hash);
    if (best.value == nullptr || precedes(candidate, best)) {
      best = candidate;
    }
  }
  return best.value == nullptr ? name_registry::none : best.value->id;
}

std::size_t
flow_order::domains_of(std::uint32_t group, std::uint64_t flow_hash, std::vector<std::uint32_t>& domains) const
{
  scratch_.clear();
  std::size_t weighted = 0;
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    if (domains_[index].in_service) {
      scratch_.push_back(score(index, group, flow_hash));
      weighted += weight_of(group, index) > 0 ? 1 : 0;
    }
  }
  std::sort(scratch_.begin(), scratch_.end(), precedes);
  domains.clear();
  for (const scored_domain& entry : scratch_) {
    domains.push_back(entry.value->id);
  }
  return weighted;
}

flow_order::ranking
flow_order::members_of(std::uint32_t domain_id, std::uint64_t flow_hash, std::uint32_t assumed_alive) const
{
  ranking best{};
  std::array<std::uint64_t, ranked_members> scores{};
  const domain* found = find(domain_id);
  if (found == nullptr) {
    return best;
  }
  std::size_t filled = 0;
  for (const member& candidate : found->members) {
    if ((!candidate.alive || candidate.leaving) && candidate.id != assumed_alive) {
      continue;
    }
    const std::uint64_t value = rendezvous_score(flow_hash, *candidate.name);
    std::size_t place = filled;
    while (place > 0 && value > scores[place - 1]) {
      --place;
    }
    if (place == ranked_members) {
      continue;
    }
    filled = std::min(filled + 1, ranked_members);
    for (std::size_t index = filled - 1; index > place; --index) {
      best[index] = best[index - 1];
      scores[index] = scores[index - 1];
    }
    best[place] = candidate.id;
    scores[place] = value;
  }
  return best;
}

bool
flow_order::reachable(std::uint32_t domain_id) const
{
  const domain* found = find(domain_id);
  return found != nullptr && std::any_of(found->members.begin(), found->members.end(), [](const member& candidate) {
           return candidate.alive && !candidate.leaving;
         });
}

bool
flow_order::in_service(std::uint32_t domain_id) const
{
  const domain* found = find(domain_id);
  return found != nullptr && found->in_service;
}

bool
flow_order::all_alive_and_started(std::uint32_t domain_id, std::uint64_t flow_hash, std::size_t count) const
{
  const domain* found = find(domain_id);
  if (found == nullptr) {
    return false;
  }
  for (const member& candidate : found->members) {
    if (candidate.leaving || (candidate.alive && !candidate.starting)) {
      continue;
    }
    const std::uint64_t own = rendezvous_score(flow_hash, *candidate.name);
    const auto better = std::count_if(found->members.begin(), found->members.end(), [&](const member& other) {
      return rendezvous_score(flow_hash, *other.name) > own;
    });
    if (static_cast<std::size_t>(better) < count) {
      return false;
    }
  }
  return true;
}

}
