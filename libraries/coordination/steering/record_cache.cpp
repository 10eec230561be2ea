#include "coltsfootlock/coordination/steering/record_cache.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace coltsfootlock {

namespace {

struct key_of
{
  std::string operator()(const target_published& content) const { return "target " + content.target.vm.id; }
  std::string operator()(const target_removed& content) const { return "target " + content.id; }
  std::string operator()(const target_unreadable& content) const { return "target " + content.id; }
  std::string operator()(const catalogue_published&) const { return "catalogue"; }
  std::string operator()(const catalogue_unreadable&) const { return "unreadable catalogue"; }
  std::string operator()(const domain_switched& content) const { return "domain " + content.domain; }
};

/// True for a change after which the record no longer exists.
bool
removes(const record_change& change)
{
  const auto* domain = std::get_if<domain_switched>(&change.content);
  return std::holds_alternative<target_removed>(change.content) || (domain != nullptr && domain->in_service);
}

/// True if the content of a newer change is older than the known one: an entry of the store's older copy that its
/// target had replaced, or a catalogue with a lower version.
bool
content_is_older(const record_change& change, const record_change& known)
{
  const auto* target = std::get_if<target_published>(&change.content);
  const auto* known_target = std::get_if<target_published>(&known.content);
  if (target != nullptr && known_target != nullptr) {
    return change.position.era > known.position.era && is_older(target->target, known_target->target);
  }
  const auto* services = std::get_if<catalogue_published>(&change.content);
  const auto* known_services = std::get_if<catalogue_published>(&known.content);
  return services != nullptr && known_services != nullptr && services->value->version < known_services->value->version;
}

/// True for records that are retained for a while if the store's copy lacks them: those that are written again. A
/// record that cannot be read says nothing that could be lost.
bool
is_retained(const record_change& change)
{
  return std::holds_alternative<target_published>(change.content) ||
         std::holds_alternative<domain_switched>(change.content);
}

}

/// Load pattern: catalogues of hundreds of services come in quick succession. A follower needs only the newest one, so
/// that memory for one catalogue is enough.
void
record_cache::discard_superseded_catalogue()
{
  const auto found = std::find_if(changes_.begin(), changes_.end(), [](const record_change& kept) {
    return std::holds_alternative<catalogue_published>(kept.content);
  });
  if (found != changes_.end()) {
    changes_.erase(found);
  }
}

void
record_cache::apply(const record_change& change)
{
  const std::string key = std::visit(key_of{}, change.content);
  const auto [known, is_new] = records_.try_emplace(key);
  if (!is_new && known->second.change.position >= change.position) {
    known->second.snapshot = snapshot_;
    return;
  }
  record_change effective = change;
  if (!is_new && content_is_older(change, known->second.change)) {
    effective.content = known->second.change.content;
  }
  known->second = { effective, snapshot_, std::nullopt };
  if (removes(change)) {
    records_.erase(known);
  }
  if (std::holds_alternative<catalogue_published>(change.content)) {
    discard_superseded_catalogue();
  }
  const auto later = std::upper_bound(
    changes_.begin(), changes_.end(), change.position, [](const store_position& position, const record_change& kept) {
      return position < kept.position;
    });
  changes_.insert(later, std::move(effective));
  while (changes_.size() > max_changes) {
    changes_from_ = changes_.front().position;
    changes_.pop_front();
  }
}

void
record_cache::begin_snapshot()
{
  ++snapshot_;
  complete_ = false;
}

void
record_cache::end_snapshot(const store_position& position, instant outage_grace_end)
{
  const bool era_begins = position.era > list_era_;
  for (auto& [key, kept] : records_) {
    // A list that follows in the same era does not extend the time.
    if (kept.change.position.era < position.era && is_retained(kept.change) && (era_begins || !kept.retained_until)) {
      kept.retained_until = outage_grace_end;
    }
  }
  std::erase_if(records_, [this, &position](const auto& item) {
    const record_change& change = item.second.change;
    if (change.position.era < position.era) {
      return !is_retained(change) && !std::holds_alternative<catalogue_published>(change.content);
    }
    return item.second.snapshot != snapshot_ && change.position <= position;
  });
  list_era_ = std::max(list_era_, position.era);
  // Removals between the last known position and the list were not received as changes.
  std::erase_if(changes_, [&position](const record_change& change) { return change.position <= position; });
  changes_from_ = std::max(changes_from_, position);
  position_ = std::max(position_, position);
  complete_ = true;
}

void
record_cache::expire(instant confirmed_at, instant outage_grace_end)
{
  expired_records_ += std::erase_if(records_, [&](const auto& item) {
    const auto& until = item.second.retained_until;
    return until && confirmed_at >= std::max(*until, outage_grace_end);
  });
}

void
record_cache::advance(const store_position& position)
{
  position_ = std::max(position_, position);
}

std::optional<std::vector<record_change>>
record_cache::all() const
{
  if (!complete_) {
    return std::nullopt;
  }
  std::vector<record_change> result;
  result.reserve(records_.size());
  for (const auto& [key, kept] : records_) {
    result.push_back(kept.change);
  }
  return result;
}

std::optional<std::vector<record_change>>
record_cache::since(const store_position& position) const
{
  if (!complete_ || position < changes_from_) {
    return std::nullopt;
  }
  const auto first = std::upper_bound(
    changes_.begin(), changes_.end(), position, [](const store_position& wanted, const record_change& kept) {
      return wanted < kept.position;
    });
  return std::vector<record_change>(first, changes_.end());
}

}
