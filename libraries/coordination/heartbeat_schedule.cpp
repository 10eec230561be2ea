#include "heartbeat_schedule.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

constexpr std::size_t contacts_per_domain = 2;
// Sender, domain, numbers and the seal of a datagram; MessagePack encodes each digest in nine bytes.
constexpr std::size_t fixed_bytes = 150;
constexpr std::size_t target_status_bytes = 18;
constexpr std::size_t capacity_bytes = 7;
constexpr std::size_t text_header_bytes = 2;
constexpr seconds contact_retention{ 5 };

}

std::size_t
heartbeat_bytes(const heartbeat& message)
{
  std::size_t bytes = fixed_bytes + message.sender.size() + message.domain.size();
  for (const vm_id& member : message.alive_members) {
    bytes += text_header_bytes + member.size();
  }
  for (const group_capacity& entry : message.capacity) {
    bytes += capacity_bytes + entry.target_group.size();
  }
  for (const target_status& status : message.targets) {
    bytes += target_status_bytes + status.target.size();
  }
  return bytes;
}

heartbeat_schedule::heartbeat_schedule(vm_id self, std::string domain, timing times)
  : self_(std::move(self))
  , domain_(std::move(domain))
  , times_(times)
  , interval_(times.heartbeat_interval)
{
}

bool
heartbeat_schedule::due(instant now) const
{
  return now >= next_round_;
}

bool
heartbeat_schedule::round_includes_other_domains() const
{
  return round_ % 2 == 0;
}

duration
heartbeat_schedule::transmission_time(std::size_t bytes) const
{
  const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                           static_cast<double>(times_.heartbeat_bytes_per_second));
  return std::chrono::duration_cast<duration>(time);
}

void
heartbeat_schedule::on_round_sent(std::size_t bytes, instant now)
{
  const duration spacing = std::max<duration>(times_.heartbeat_interval, transmission_time(bytes));
  // Rounds with and without other domains alternate, so a peer observes the mean of two intervals.
  interval_ = (interval_ + spacing) / 2;
  next_round_ = now + spacing;
  ++round_;
}

void
heartbeat_schedule::on_extra_heartbeats_sent(std::size_t bytes)
{
  next_round_ += transmission_time(bytes);
}

duration
heartbeat_schedule::suspect_after(bool own_domain) const
{
  const duration intervals = 4 * interval_ * (own_domain ? 1 : 2);
  return std::max<duration>(times_.suspect_after, intervals);
}

duration
heartbeat_schedule::interval() const
{
  return interval_;
}

std::vector<entry_vm>
heartbeat_schedule::contacts(const std::vector<entry_vm>& entries, const membership& peers, instant now)
{
  std::map<std::string, std::vector<entry_vm>> by_domain;
  for (const entry_vm& vm : entries) {
    if (vm.domain != domain_) {
      by_domain[vm.domain].push_back(vm);
    }
  }
  std::vector<entry_vm> result;
  for (auto& [domain, candidates] : by_domain) {
    for (entry_vm& vm : contacts_in(std::move(candidates), peers, now)) {
      result.push_back(std::move(vm));
    }
  }
  return result;
}

std::vector<entry_vm>
heartbeat_schedule::contacts_in(std::vector<entry_vm> candidates, const membership& peers, instant now)
{
  const std::uint64_t item = hash_text(self_);
  std::sort(candidates.begin(), candidates.end(), [&](const entry_vm& left, const entry_vm& right) {
    return rendezvous_score(item, left.id) > rendezvous_score(item, right.id);
  });
  const auto silent = [&](const entry_vm& vm) {
    const auto first = first_sent_.find(vm.id);
    return first != first_sent_.end() && now - first->second >= suspect_after(false) && !peers.alive(vm, domain_, now);
  };
  std::stable_partition(candidates.begin(), candidates.end(), [&](const entry_vm& vm) { return !silent(vm); });
  const bool all_silent = !candidates.empty() && silent(candidates.front());
  if (all_silent) {
    // Contacts another pair each second, so that contact is restored whichever daemon of the domain is reachable.
    const auto second = std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
    const auto shift = static_cast<std::size_t>(second) % candidates.size();
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(shift), candidates.end());
  }
  std::vector<entry_vm> chosen;
  for (const entry_vm& vm : candidates) {
    const peer_record* record = peers.find(vm.id);
    const bool contacted_recently = record != nullptr && now - record->last_received < contact_retention;
    if (chosen.size() < contacts_per_domain || contacted_recently) {
      first_sent_.try_emplace(vm.id, now);
      chosen.push_back(vm);
    }
  }
  return chosen;
}

}
