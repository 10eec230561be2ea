#include "fleet_checker.h"

#include "coltsfootlock/coordination/invariant.h"
#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/coordination/share.h"

#include <algorithm>
#include <set>

namespace coltsfootlock {

namespace {

constexpr int sampled_keys = 12;
constexpr milliseconds max_request_duration{ 2000 };
// Time in which a report reaches every connected daemon of the domain, even if heartbeats are lost.
constexpr seconds propagation_time{ 3 };
// Daemons ignore smaller differences between their times for the start of a cold allowance.
constexpr milliseconds cold_tolerance{ 600 };

}

fleet_checker::fleet_checker(fake_fleet& fleet)
  : fleet_(fleet)
{
}

void
fleet_checker::check()
{
  for (auto& [id, node] : fleet_.nodes) {
    if (node.isolated || !fleet_.running(node)) {
      node.last_fault = fleet_.now;
    }
  }
  update_cold_starts();
  check_shares();
  check_keys();
  check_versions();
}

void
fleet_checker::on_cold_start(const vm_id& target, const std::string& observer, instant when)
{
  cold_[target] = { when, observer };
}

void
fleet_checker::update_cold_starts()
{
  for (auto& [target, start] : cold_) {
    const fake_node& observer = fleet_.nodes.at(start.observer);
    start.propagated =
      start.propagated || (fleet_.now - start.when >= propagation_time && observer.last_fault < start.when);
  }
}

void
fleet_checker::check_shares()
{
  std::map<vm_id, std::string> targets;
  for (const auto& [id, node] : fleet_.nodes) {
    if (const auto view = fleet_.view(id)) {
      for (const auto& [target, known] : view->targets) {
        targets[target] = known.vm.domain;
      }
    }
  }
  for (const auto& [target, domain] : targets) {
    check_target(target, domain);
  }
}

// Slots that runs may occupy: the largest share within the maximum request duration, even if the daemon has stopped.
std::uint32_t
fleet_checker::slots_in_use(const std::string& id, const vm_id& target, std::uint32_t share)
{
  auto& recent = shares_[{ id, target }];
  while (!recent.empty() && fleet_.now - recent.front().first >= max_request_duration) {
    recent.pop_front();
  }
  while (!recent.empty() && recent.back().second <= share) {
    recent.pop_back();
  }
  recent.emplace_back(fleet_.now, share);
  return recent.front().second;
}

void
fleet_checker::check_target(const vm_id& target, const std::string& domain)
{
  target_share sum;
  std::uint32_t in_use = 0;
  bool all_informed = true;
  std::string detail = target;
  for (const auto& [id, node] : fleet_.nodes) {
    if (node.vm.domain != domain) {
      continue;
    }
    const target_share share = fleet_.share(id, target);
    in_use += slots_in_use(id, target, share.slots);
    sum.slots += share.slots;
    sum.connections += share.connections;
    detail.append(" ").append(id).append("=").append(std::to_string(share.slots));
    detail.append("/").append(std::to_string(share.connections));
    all_informed = all_informed && (!node.engine || fleet_.now - node.last_fault >= propagation_time);
  }
  check_invariant(
    sum.slots <= fleet_.limits.slots && sum.connections <= fleet_.limits.connections, "shares_within_limit", detail);
  check_invariant(in_use <= fleet_.limits.slots, "runs_within_limit", detail);
  const auto cold = cold_.find(target);
  if (cold == cold_.end() || !all_informed || !cold->second.propagated) {
    return;
  }
  const target_share allowance = allowance_at(fleet_.limits, cold->second.when - cold_tolerance, fleet_.now);
  check_invariant(
    sum.slots <= allowance.slots && sum.connections <= allowance.connections, "shares_within_cold_allowance", detail);
}

void
fleet_checker::check_keys()
{
  for (int index = 0; index < sampled_keys; ++index) {
    const std::string key = "key-" + std::to_string(index);
    std::string owner;
    for (const auto& [id, node] : fleet_.nodes) {
      if (fleet_.owns(id, key)) {
        check_invariant(
          owner.empty(), "key_has_one_owner", std::string(key).append(" ").append(owner).append(" ").append(id));
        owner = id;
      }
    }
    if (!owner.empty()) {
      check_ownership_change(key, owner);
    }
  }
}

void
fleet_checker::check_ownership_change(const std::string& key, const std::string& owner)
{
  const fake_node& node = fleet_.nodes.at(owner);
  const instant since = owner_since(key, owner);
  for (const auto& [other, entry] : accepted_[key]) {
    const bool same = other == owner && entry.boot_id == node.boot_id;
    // The owner accepts keys that were first sent after this time; no other daemon may have accepted one of them.
    check_invariant(same || entry.last <= since + fleet_.times.max_packet_lifetime,
                    "ownership_begins_after_other_owners",
                    std::string(key).append(" ").append(other).append(" ").append(owner));
  }
  accepted_[key][owner] = { owner, node.boot_id, fleet_.now };
}

instant
fleet_checker::owner_since(const std::string& key, const std::string& owner) const
{
  const auto view = fleet_.view(owner);
  instant since = fleet_.now;
  for (auto epoch = view->ownership.rbegin(); epoch != view->ownership.rend(); ++epoch) {
    const bool owned = !epoch->set.key_domains.empty() &&
                       rendezvous_order(hash_text(key), epoch->set.key_domains).front() == view->domain &&
                       rendezvous_rank(hash_text(key), epoch->set.members, owner) == 0;
    if (!owned) {
      break;
    }
    since = epoch->since;
  }
  return since;
}

void
fleet_checker::check_versions()
{
  for (auto& [id, node] : fleet_.nodes) {
    if (const auto view = fleet_.view(id)) {
      check_invariant(view->services->version >= node.catalogue_version, "catalogue_version_never_decreases", id);
      node.catalogue_version = view->services->version;
    }
  }
}

}
