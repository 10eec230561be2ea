#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace coltsfootlock {

/// A position in the history of the platform's store, ordered by era, then revision. The store begins an era each time
/// it comes back from an older copy. Its revisions then go back and are reused, so that those of two eras cannot be
/// compared.
struct store_position
{
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  store_position() = default;

  /// A position in era 0, that of a store or daemon which states no era. Implicit, since such a position is a bare
  /// revision.
  store_position(std::uint64_t revision_of_era_0)
    : revision(revision_of_era_0)
  {
  }

  store_position(std::uint64_t its_era, std::uint64_t its_revision)
    : era(its_era)
    , revision(its_revision)
  {
  }

  auto operator<=>(const store_position&) const = default;
};

/// The era and the revision, separated by a dot.
inline std::string
to_string(const store_position& position)
{
  return std::to_string(position.era) + "." + std::to_string(position.revision);
}

}
