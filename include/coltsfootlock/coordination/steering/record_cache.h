#pragma once

#include "coltsfootlock/state/record_call.h"
#include "coltsfootlock/state/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Caches the newest change of each record and the latest changes in order of position, for daemons that follow this
/// one.
///
/// Load pattern: the store comes back from an older copy, and daemons start before targets and operators have written
/// again what the copy lacks. The cache retains targets and withdrawals of domains that a list of a higher era lacks
/// until `expire`. They keep their position, whose lower era tells followers that they are retained. The catalogue with
/// the highest version, and what a target wrote last, replace what the copy has instead.
class record_cache
{
public:
  /// Capacity for changes in order. A follower that is further behind needs the full list.
  static constexpr std::size_t max_changes = 4096;

  void apply(const record_change& change);

  /// A full list follows. The cache returns nothing until it is complete.
  void begin_snapshot();

  /// The list is complete as of `position`. `outage_grace_end`: until then a missing record may be a consequence of an
  /// outage of the store.
  void end_snapshot(const store_position& position, instant outage_grace_end = {});

  /// Removes retained records once the records are confirmed as of the end of their grace period, which a later outage
  /// renews.
  void expire(instant confirmed_at, instant outage_grace_end);

  /// All changes up to `position` have been applied.
  void advance(const store_position& position);

  /// Newest changes of records that exist; empty before the first complete list.
  std::optional<std::vector<record_change>> all() const;

  /// Changes after a position; empty if they are no longer cached.
  std::optional<std::vector<record_change>> since(const store_position& position) const;

  const store_position& position() const { return position_; }

  /// Number of retained records that have been removed. A list depends on it and on the position.
  std::uint64_t expired_records() const { return expired_records_; }

  /// False before the first list is complete and while a later one is being received.
  bool complete() const { return complete_; }

private:
  struct entry
  {
    record_change change;
    std::uint64_t snapshot = 0;
    std::optional<instant> retained_until; ///< Set if a list of a higher era lacks the record.
  };

  void discard_superseded_catalogue();

  std::map<std::string, entry> records_; ///< By kind and name.
  std::deque<record_change> changes_;    ///< By position, ascending; only the newest catalogue is among them.
  store_position changes_from_;          ///< All changes after this position are in changes_.
  store_position position_;
  std::uint64_t snapshot_ = 0;
  std::uint64_t list_era_ = 0; ///< Of the last complete list.
  std::uint64_t expired_records_ = 0;
  bool complete_ = false;
};

}
