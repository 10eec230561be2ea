#include "key_ownership.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <string>
#include <vector>

namespace coltsfootlock {

namespace {

// The first item of rendezvous_order over the names of the items, without copying the names.
template<typename Items, typename NameOf>
const std::string*
first_choice(std::uint64_t hash, const Items& items, NameOf name_of)
{
  const std::string* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& item : items) {
    const std::string* name = name_of(item);
    if (name == nullptr) {
      continue;
    }
    const std::uint64_t score = rendezvous_score(hash, *name);
    if (best == nullptr || score > best_score || (score == best_score && *name < *best)) {
      best = name;
      best_score = score;
    }
  }
  return best;
}

const std::string*
first_choice(std::uint64_t hash, const std::vector<std::string>& names)
{
  return first_choice(hash, names, [](const std::string& name) { return &name; });
}

const std::string*
home_domain(const routing_view& view, std::uint64_t key_hash)
{
  if (!view.spending_sets.empty()) {
    return first_choice(key_hash, view.spending_sets.front().key_domains);
  }
  return first_choice(
    key_hash, view.domains, [](const auto& entry) { return entry.second.in_service ? &entry.first : nullptr; });
}

// The owner among the entry VMs that are listed in the domain; null if there is none.
const std::string*
listed_owner(const routing_view& view, const std::string& domain, std::uint64_t key_hash)
{
  const auto found = view.domains.find(domain);
  if (found == view.domains.end()) {
    return nullptr;
  }
  return first_choice(key_hash, found->second.members, [](const member_view& member) { return &member.vm.id; });
}

bool
owns(const routing_view& view, const entry_set& set, std::uint64_t key_hash)
{
  const std::string* home = first_choice(key_hash, set.key_domains);
  if (home == nullptr || *home != view.domain) {
    return false;
  }
  const std::string* owner = first_choice(key_hash, set.members);
  return owner != nullptr && *owner == view.self;
}

}

vm_id
key_owner(const routing_view& view, std::uint64_t key_hash)
{
  const std::string* home = home_domain(view, key_hash);
  if (home == nullptr) {
    return {};
  }
  const bool settled_here = *home == view.domain && !view.spending_sets.empty();
  const std::string* owner =
    settled_here ? first_choice(key_hash, view.spending_sets.front().members) : listed_owner(view, *home, key_hash);
  return owner == nullptr ? vm_id() : *owner;
}

bool
owns_under_all_sets(const routing_view& view, std::uint64_t key_hash)
{
  return !view.spending_sets.empty() && std::all_of(view.spending_sets.begin(),
                                                    view.spending_sets.end(),
                                                    [&](const entry_set& set) { return owns(view, set, key_hash); });
}

std::optional<instant>
owner_since(const routing_view& view, std::uint64_t key_hash)
{
  std::optional<instant> since;
  for (auto epoch = view.ownership.rbegin(); epoch != view.ownership.rend(); ++epoch) {
    if (!owns(view, epoch->set, key_hash)) {
      break;
    }
    since = epoch->since;
  }
  return since;
}

std::string
domain_of(const routing_view& view, const vm_id& entry)
{
  for (const auto& [name, domain] : view.domains) {
    if (std::any_of(domain.members.begin(), domain.members.end(), [&](const member_view& member) {
          return member.vm.id == entry;
        })) {
      return name;
    }
  }
  return {};
}

std::optional<vm_id>
previous_owner(const routing_view& view, std::uint64_t key_hash)
{
  for (std::size_t index = view.ownership.size(); index-- > 1;) {
    const entry_set_epoch& epoch = view.ownership[index];
    const entry_set_epoch& before = view.ownership[index - 1];
    if (!owns(view, epoch.set, key_hash)) {
      return std::nullopt;
    }
    if (owns(view, before.set, key_hash)) {
      continue;
    }
    const std::string* home = first_choice(key_hash, before.set.key_domains);
    if (!epoch.direct || home == nullptr || *home == view.domain) {
      return std::nullopt;
    }
    const std::string* owner = listed_owner(view, *home, key_hash);
    return owner == nullptr ? std::nullopt : std::optional(*owner);
  }
  return std::nullopt;
}

bool
owned_until_handed_over(const routing_view& view,
                        std::uint64_t key_hash,
                        const std::string& new_domain,
                        instant first_sent)
{
  // The settled sets, then the pending ones; spending_sets repeats the settled one at its front.
  std::vector<entry_set_epoch> sets = view.ownership;
  for (std::size_t index = 1; index < view.spending_sets.size(); ++index) {
    sets.push_back({ {}, view.spending_sets[index], false });
  }
  if (sets.size() < 2) {
    return false;
  }
  const entry_set& newest = sets.back().set;
  const entry_set& before = sets[sets.size() - 2].set;
  const std::string* home = first_choice(key_hash, newest.key_domains);
  if (home == nullptr || *home != new_domain || *home == view.domain || newest.members != before.members) {
    return false;
  }
  std::optional<instant> since;
  for (std::size_t index = sets.size() - 1; index-- > 0 && owns(view, sets[index].set, key_hash);) {
    since = sets[index].since;
  }
  return since && *since <= first_sent;
}

}
