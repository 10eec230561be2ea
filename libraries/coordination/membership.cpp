#include "membership.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

constexpr std::size_t max_previous_boot_ids = 8;

bool
contains(const std::vector<std::uint64_t>& values, std::uint64_t value)
{
  return std::find(values.begin(), values.end(), value) != values.end();
}

void
add_previous_boot_id(peer_record& record)
{
  record.previous_boot_ids.push_back(record.last_heartbeat.boot_id);
  if (record.previous_boot_ids.size() > max_previous_boot_ids) {
    record.previous_boot_ids.erase(record.previous_boot_ids.begin());
  }
}

}

membership::membership(timing times)
  : times_(times)
{
}

bool
membership::on_heartbeat(const heartbeat& message, duration suspect_after, instant now)
{
  const auto [position, created] = peers_.try_emplace(message.sender);
  peer_record& record = position->second;
  if (!created) {
    const bool same_boot = record.last_heartbeat.boot_id == message.boot_id;
    if (same_boot && message.sequence <= record.last_heartbeat.sequence) {
      return false;
    }
    if (!same_boot) {
      // A delayed heartbeat of an earlier boot must not overwrite the state of the current one.
      if (contains(record.previous_boot_ids, message.boot_id)) {
        return false;
      }
      add_previous_boot_id(record);
      record.list_evidence.reset();
      record.catalogue_evidence.reset();
    }
  }
  record.last_heartbeat = message;
  record.last_received = now;
  record.alive_until = now + suspect_after;
  return true;
}

void
membership::record_evidence(const vm_id& peer, bool list, bool catalogue, instant now)
{
  const auto position = peers_.find(peer);
  if (position == peers_.end()) {
    return;
  }
  if (list) {
    position->second.list_evidence = now;
  }
  if (catalogue) {
    position->second.catalogue_evidence = now;
  }
}

void
membership::resume(instant before, duration suspect_after, instant now)
{
  for (auto& [id, record] : peers_) {
    if (record.alive_until > before) {
      record.alive_until = now + suspect_after;
    }
  }
}

void
membership::remove_silent(const std::vector<vm_id>& kept, instant now)
{
  constexpr seconds peer_retention{ 60 };
  std::erase_if(peers_, [&](const auto& entry) {
    const bool needed = std::find(kept.begin(), kept.end(), entry.first) != kept.end();
    return !needed && now - entry.second.last_received > peer_retention;
  });
}

const peer_record*
membership::find(const vm_id& peer) const
{
  const auto position = peers_.find(peer);
  return position == peers_.end() ? nullptr : &position->second;
}

bool
membership::has_recent_heartbeat(const vm_id& peer, instant now) const
{
  const peer_record* record = find(peer);
  return record != nullptr && now < record->alive_until;
}

bool
membership::alive(const entry_vm& vm, const std::string& own_domain, instant now) const
{
  if (has_recent_heartbeat(vm.id, now)) {
    return true;
  }
  if (vm.domain == own_domain) {
    return false;
  }
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const heartbeat& last_heartbeat = entry.second.last_heartbeat;
    return last_heartbeat.domain == vm.domain && now < entry.second.alive_until &&
           std::find(last_heartbeat.alive_members.begin(), last_heartbeat.alive_members.end(), vm.id) !=
             last_heartbeat.alive_members.end();
  });
}

std::optional<instant>
membership::domain_last_received(const std::string& domain) const
{
  std::optional<instant> latest;
  for (const auto& [id, record] : peers_) {
    if (record.last_heartbeat.domain == domain && (!latest || record.last_received > *latest)) {
      latest = record.last_received;
    }
  }
  return latest;
}

const std::map<vm_id, peer_record>&
membership::peers() const
{
  return peers_;
}

}
