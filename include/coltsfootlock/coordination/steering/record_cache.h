#pragma once

#include "coltsfootlock/state/record_call.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// The newest change of each record and the latest changes in their order, kept for other daemons that follow this one.
class record_cache
{
public:
  /// Changes that are kept in order. A follower that is further behind takes the full list.
  static constexpr std::size_t max_changes = 4096;

  void apply(const record_change& change);

  /// A full list follows. Until it is complete the book serves nobody.
  void begin_snapshot();

  /// The list is complete and dates from `revision`.
  void end_snapshot(std::uint64_t revision);

  /// All changes up to `revision` are known.
  void advance(std::uint64_t revision);

  /// Newest changes of records that exist; empty before the first complete list.
  std::optional<std::vector<record_change>> all() const;

  /// Changes after a revision; empty if they are not kept.
  std::optional<std::vector<record_change>> since(std::uint64_t revision) const;

  std::uint64_t revision() const { return revision_; }

  /// False before the first list and while a further one comes in.
  bool complete() const { return complete_; }

private:
  struct entry
  {
    record_change change;
    std::uint64_t snapshot = 0;
  };

  std::map<std::string, entry> records_; ///< By kind and name.
  std::deque<record_change> changes_;    ///< By revision, ascending.
  std::uint64_t changes_from_ = 0;       ///< All changes after this revision are in changes_.
  std::uint64_t revision_ = 0;
  std::uint64_t snapshot_ = 0;
  bool complete_ = false;
};

}
