#include "domain_choice.h"

#include <algorithm>

namespace coltsfootlock {

domain_choice::domain_choice(const std::vector<domain_load>& domains, std::size_t own)
{
  double entries = 0;
  double capacity = 0;
  for (const domain_load& each : domains) {
    entries += each.entries;
    capacity += each.capacity;
  }
  if (own >= domains.size() || capacity <= 0) {
    return;
  }
  const auto entry_share = [&](const domain_load& each) { return entries > 0 ? each.entries / entries : 0; };
  const auto capacity_share = [&](const domain_load& each) { return each.capacity / capacity; };

  double local_fraction = 1;
  if (entry_share(domains[own]) > 0) {
    local_fraction = std::min(1.0, capacity_share(domains[own]) / entry_share(domains[own]));
  }
  double total_deficit = 0;
  for (const domain_load& each : domains) {
    total_deficit += std::max(0.0, capacity_share(each) - entry_share(each));
  }
  if (total_deficit <= 0) {
    local_fraction = 1;
  }
  double end = local_fraction;
  intervals_.push_back({ own, end });
  for (std::size_t index = 0; index < domains.size() && local_fraction < 1; ++index) {
    const double deficit = std::max(0.0, capacity_share(domains[index]) - entry_share(domains[index]));
    if (index != own && deficit > 0) {
      end += (1 - local_fraction) * deficit / total_deficit;
      intervals_.push_back({ index, end });
    }
  }
  // Rounding can leave the sum of the fractions just below 1.
  intervals_.back().upper_end = 1;
}

std::optional<std::size_t>
domain_choice::choose(std::uint64_t request_hash) const
{
  constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
  const double position = static_cast<double>(request_hash >> 11U) * scale;
  for (const interval& each : intervals_) {
    if (position < each.upper_end) {
      return each.domain;
    }
  }
  return std::nullopt;
}

}
