#include "entry_sets.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace coltsfootlock {

namespace {

std::string
joined(const std::vector<std::string>& names)
{
  std::string text;
  for (const std::string& name : names) {
    text += text.empty() ? name : " " + name;
  }
  return text;
}

// Names in the settled set and in the pending sets up to `index`.
template<class Transition>
std::set<std::string>
names_up_to(const Transition& transition, std::size_t index)
{
  std::set<std::string> names;
  if (transition.settled()) {
    names.insert(transition.settled()->begin(), transition.settled()->end());
  }
  for (std::size_t position = 0; position <= index; ++position) {
    const auto& set = transition.pending()[position].set;
    names.insert(set.begin(), set.end());
  }
  return names;
}

bool
silent_for_hold_off(std::optional<instant> last_received,
                    instant adopted,
                    duration hold_off,
                    const settle_conditions& conditions)
{
  instant start = std::max(adopted, conditions.resumed);
  if (last_received) {
    start = std::max(start, *last_received);
  }
  return conditions.now - start >= hold_off;
}

}

std::uint64_t
members_digest(const std::vector<vm_id>& members)
{
  return hash_text(joined(members));
}

entry_sets::entry_sets(vm_id self, std::string domain, duration key_retention)
  : self_(std::move(self))
  , domain_(std::move(domain))
  , key_retention_(key_retention)
{
}

bool
entry_sets::adopt_members(const std::vector<vm_id>& members, std::uint64_t version, instant now)
{
  return members_.adopt(members, version, now);
}

bool
entry_sets::adopt_domains(const std::vector<std::string>& domains, std::uint64_t version, instant now)
{
  return domains_.adopt(domains, version, now);
}

void
entry_sets::reset_members()
{
  members_.reset();
  epochs_.clear();
}

void
entry_sets::reset_domains()
{
  domains_.reset();
  epochs_.clear();
}

void
entry_sets::on_heartbeat(const heartbeat& message, std::uint64_t own_catalogue_version)
{
  // A daemon with a newer catalogue may have skipped this daemon's pending set, so its report does not confirm that
  // set.
  if (message.domain == domain_ || message.catalogue_version > own_catalogue_version) {
    return;
  }
  std::uint64_t& reported = reported_versions_[message.domain];
  reported = std::max(reported, message.domain_catalogue_version);
}

std::vector<std::string>
entry_sets::settle(const membership& peers, const settle_conditions& conditions)
{
  std::vector<std::string> decisions;
  for (std::size_t index = members_.pending().size(); index-- > 0;) {
    if (members_agree(index, peers, conditions)) {
      record_members(members_.settle(index), conditions.now);
      decisions.push_back("settled on entry VMs " + joined(*members_.settled()));
      break;
    }
  }
  for (std::size_t index = domains_.pending().size(); index-- > 0;) {
    if (domains_agree(index, peers, conditions)) {
      const bool successive = domains_.pending()[index].successive;
      record_domains(domains_.settle(index), successive, conditions.now);
      decisions.push_back("settled on key domains " + joined(*domains_.settled()));
      break;
    }
  }
  return decisions;
}

bool
entry_sets::members_agree(std::size_t index, const membership& peers, const settle_conditions& conditions) const
{
  const std::set<std::string> names = names_up_to(members_, index);
  return std::all_of(names.begin(), names.end(), [&](const vm_id& member) {
    return member == self_ || member_agrees(member, index, peers, conditions);
  });
}

bool
entry_sets::member_agrees(const vm_id& member,
                          std::size_t index,
                          const membership& peers,
                          const settle_conditions& conditions) const
{
  const auto& pending = members_.pending();
  const peer_record* record = peers.find(member);
  if (record == nullptr) {
    return silent_for_hold_off(std::nullopt, pending[index].adopted, conditions.hold_off, conditions);
  }
  if (record->last_heartbeat.released) {
    return true;
  }
  // The version distinguishes a report of this set from one of an earlier list with the same members.
  const bool recent = record->last_heartbeat.vm_list_version >= pending[index].version;
  const bool adopted = std::any_of(pending.begin() + static_cast<std::ptrdiff_t>(index),
                                   pending.end(),
                                   [&](const members_transition::adopted_set& set) {
                                     return members_digest(set.set) == record->last_heartbeat.adopted_entry_set;
                                   });
  return (recent && adopted) ||
         silent_for_hold_off(record->last_received, pending[index].adopted, conditions.hold_off, conditions);
}

bool
entry_sets::domains_agree(std::size_t index, const membership& peers, const settle_conditions& conditions) const
{
  const domains_transition::adopted_set& candidate = domains_.pending()[index];
  if (!domains_.settled()) {
    // After a start it is unknown which domains owned keys before, so the full hold-off applies.
    return conditions.now - candidate.adopted >= conditions.key_hold_off;
  }
  const std::set<std::string> names = names_up_to(domains_, index);
  return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
    if (name == domain_) {
      return conditions.domain_version >= candidate.version;
    }
    const auto reported = reported_versions_.find(name);
    return (reported != reported_versions_.end() && reported->second >= candidate.version) ||
           silent_for_hold_off(
             peers.domain_last_received(name), candidate.adopted, conditions.key_hold_off, conditions);
  });
}

void
entry_sets::record_members(const std::vector<members_transition::adopted_set>& skipped, instant now)
{
  if (!domains_.settled()) {
    return;
  }
  // Other daemons may have settled on a skipped set for a while, so it interrupts the ownership.
  for (const auto& entry : skipped) {
    record_epoch(entry.adopted, { entry.set, *domains_.settled() });
  }
  record_epoch(now, { *members_.settled(), *domains_.settled() });
}

void
entry_sets::record_domains(const std::vector<domains_transition::adopted_set>& skipped, bool successive, instant now)
{
  if (!members_.settled()) {
    return;
  }
  for (const auto& entry : skipped) {
    record_epoch(entry.adopted, { *members_.settled(), entry.set });
  }
  const bool direct = successive && skipped.empty() && !epochs_.empty();
  record_epoch(now, { *members_.settled(), *domains_.settled() });
  epochs_.back().direct = direct;
}

void
entry_sets::record_epoch(instant since, entry_set set)
{
  if (!epochs_.empty()) {
    since = std::max(since, epochs_.back().since);
  }
  epochs_.push_back({ since, std::move(set), false });
}

void
entry_sets::interrupt_ownership(instant now)
{
  if (!epochs_.empty()) {
    epochs_ = { { now, epochs_.back().set, false } };
  }
}

std::vector<entry_set>
entry_sets::spending_sets() const
{
  const auto members = members_.in_force();
  // Until a set of domains has settled, the pending sets are used to find the owners of keys; this daemon has no key
  // authority during that time.
  auto domains = domains_.all();
  if (domains.empty()) {
    domains.emplace_back();
  }
  std::vector<entry_set> sets;
  for (std::size_t index = 0; !members.empty() && index < std::max(members.size(), domains.size()); ++index) {
    sets.push_back({ members[std::min(index, members.size() - 1)], domains[std::min(index, domains.size() - 1)] });
  }
  return sets;
}

std::vector<entry_set_epoch>
entry_sets::ownership(instant now) const
{
  // The newest epoch that began before the retention window covers the start of the window.
  auto first = epochs_.begin();
  while (first != epochs_.end() && std::next(first) != epochs_.end() &&
         std::next(first)->since <= now - key_retention_) {
    ++first;
  }
  return { first, epochs_.end() };
}

bool
entry_sets::keys_settled() const
{
  return members_.settled().has_value() && domains_.settled().has_value();
}

std::uint64_t
entry_sets::reported_members_digest(duration max_run_duration, instant now) const
{
  const std::vector<vm_id>* held = members_.in_force_since(now - max_run_duration);
  return held == nullptr ? 0 : members_digest(*held);
}

std::vector<vm_id>
entry_sets::all_members() const
{
  std::set<vm_id> names;
  for (const std::vector<vm_id>& set : members_.all()) {
    names.insert(set.begin(), set.end());
  }
  return { names.begin(), names.end() };
}

}
