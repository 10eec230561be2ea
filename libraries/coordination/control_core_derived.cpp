#include "control_core.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <set>

namespace coltsfootlock {

namespace {

constexpr std::size_t reader_count = 2;

// Adds ten percent to allow for clocks that run at different rates.
duration
with_margin(duration span)
{
  return span + span / 10;
}

}

std::vector<entry_vm>
control_core::own_domain_peers() const
{
  std::vector<entry_vm> result;
  if (!list_) {
    for (const entry_vm& seed : identity_.seeds) {
      if (seed.domain == identity_.domain && seed.id != identity_.self) {
        result.push_back(seed);
      }
    }
    return result;
  }
  // Members that were removed from the list still get heartbeats until no set contains them.
  for (const vm_id& member : sets_.all_members()) {
    const entry_vm* address = member == identity_.self ? nullptr : address_of(member);
    if (address != nullptr) {
      result.push_back(*address);
    }
  }
  return result;
}

std::vector<vm_id>
control_core::listed_members() const
{
  std::vector<vm_id> members;
  if (!list_) {
    return members;
  }
  for (const entry_vm& vm : list_->entries) {
    if (vm.domain == identity_.domain) {
      members.push_back(vm.id);
    }
  }
  std::sort(members.begin(), members.end());
  return members;
}

std::vector<std::string>
control_core::other_domains() const
{
  // Includes domains out of service: while neither they nor the platform can be reached, a newer catalogue may have
  // returned them to service.
  std::set<std::string> with_entries;
  if (!list_) {
    return {};
  }
  for (const entry_vm& vm : list_->entries) {
    with_entries.insert(vm.domain);
  }
  with_entries.erase(identity_.domain);
  return { with_entries.begin(), with_entries.end() };
}

std::vector<vm_id>
control_core::live_members(instant now) const
{
  std::vector<vm_id> live;
  if (!list_) {
    return live;
  }
  for (const entry_vm& vm : list_->entries) {
    if (vm.domain != identity_.domain || vm.leaving) {
      continue;
    }
    if (vm.id == identity_.self) {
      if (state_ != daemon_state::leaving) {
        live.push_back(vm.id);
      }
      continue;
    }
    const peer_record* record = peers_.find(vm.id);
    if (peers_.has_recent_heartbeat(vm.id, now) && record->last_heartbeat.state != daemon_state::leaving) {
      live.push_back(vm.id);
    }
  }
  return live;
}

std::vector<vm_id>
control_core::platform_readers(instant now) const
{
  std::vector<vm_id> order = rendezvous_order(hash_text("platform readers"), live_members(now));
  if (order.empty()) {
    return { identity_.self };
  }
  order.resize(std::min(order.size(), reader_count));
  return order;
}

std::uint64_t
control_core::domain_catalogue_version(instant now) const
{
  // Includes suspect members that may still hold key authority, because they still act on the version they reported.
  std::uint64_t lowest = catalogue_synchronizer_.version();
  const duration silence = key_hold_off(now);
  for (const vm_id& member : sets_.all_members()) {
    if (member == identity_.self) {
      continue;
    }
    const peer_record* record = peers_.find(member);
    if (record != nullptr && record->last_heartbeat.released) {
      continue;
    }
    instant quiet_since = std::max(catalogue_adopted_, resumed_);
    if (record != nullptr) {
      quiet_since = std::max(quiet_since, record->last_received);
    }
    if (now - quiet_since >= silence) {
      continue;
    }
    const std::uint64_t reported = record == nullptr ? 0 : record->last_heartbeat.catalogue_version;
    // A member with a newer version may have skipped this daemon's version, so no version can be reported for it.
    lowest = reported > catalogue_synchronizer_.version() ? 0 : std::min(lowest, reported);
  }
  return lowest;
}

duration
control_core::max_warm_up() const
{
  duration result{};
  if (catalogue_) {
    for (const service& entry : catalogue_->services) {
      result = std::max<duration>(result, seconds(entry.limits.warm_up_seconds));
    }
  }
  return result;
}

duration
control_core::hold_off(instant now) const
{
  return with_margin(times_.spend_authority_timeout + request_duration_limit_.at(now));
}

duration
control_core::key_hold_off(instant now) const
{
  return with_margin(times_.key_authority_timeout + request_duration_limit_.at(now));
}

const entry_vm*
control_core::address_of(const vm_id& peer) const
{
  const auto position = addresses_.find(peer);
  return position == addresses_.end() ? nullptr : &position->second;
}

}
