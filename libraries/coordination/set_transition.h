#pragma once

#include "coltsfootlock/state/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace coltsfootlock {

/// The settled set and the pending sets, which are adopted but not settled yet. All of them restrict what may be used.
template<class Set>
class set_transition
{
public:
  struct adopted_set
  {
    Set set;
    std::uint64_t version = 0; ///< Version of the record that first contained the set.
    instant adopted{};
    bool successive = false; ///< No version was skipped between the preceding set and this one.
  };

  /// Adds the set as pending unless it equals the newest one. Returns true if it was added.
  bool adopt(const Set& set, std::uint64_t version, instant now)
  {
    const Set* newest_set = newest();
    const bool successive = version == last_version_ + 1;
    last_version_ = version;
    if (newest_set != nullptr && *newest_set == set) {
      return false;
    }
    pending_.push_back({ set, version, now, successive });
    return true;
  }

  /// Settles on pending set `index` and returns the sets that were replaced or skipped, in order.
  std::vector<adopted_set> settle(std::size_t index)
  {
    const auto end = pending_.begin() + static_cast<std::ptrdiff_t>(index);
    std::vector<adopted_set> skipped(pending_.begin(), end);
    settled_ = end->set;
    settled_adopted_ = end->adopted;
    pending_.erase(pending_.begin(), end + 1);
    return skipped;
  }

  /// Discards all sets: other daemons may have settled on sets that this daemon never received.
  void reset()
  {
    settled_.reset();
    pending_.clear();
  }

  const Set* newest() const
  {
    if (!pending_.empty()) {
      return &pending_.back().set;
    }
    return settled_ ? &*settled_ : nullptr;
  }

  /// The newest set that was adopted at `since` or earlier; null without one.
  const Set* in_force_since(instant since) const
  {
    for (auto entry = pending_.rbegin(); entry != pending_.rend(); ++entry) {
      if (entry->adopted <= since) {
        return &entry->set;
      }
    }
    return settled_ && settled_adopted_ <= since ? &*settled_ : nullptr;
  }

  /// The settled set first, then the pending ones; empty while none is settled.
  std::vector<Set> in_force() const { return settled_ ? all() : std::vector<Set>{}; }

  /// The settled set, if there is one, and all pending sets.
  std::vector<Set> all() const
  {
    std::vector<Set> sets;
    if (settled_) {
      sets.push_back(*settled_);
    }
    for (const adopted_set& entry : pending_) {
      sets.push_back(entry.set);
    }
    return sets;
  }

  const std::optional<Set>& settled() const { return settled_; }
  const std::vector<adopted_set>& pending() const { return pending_; }

private:
  std::optional<Set> settled_;
  instant settled_adopted_{};
  std::vector<adopted_set> pending_;
  std::uint64_t last_version_ = 0; ///< Version of the newest record, even if its set was not new.
};

}
