#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <xxhash.h>

namespace coltsfootlock {

namespace {

struct scored_name
{
  double score = 0;
  std::uint64_t tie = 0;
  const std::string* name = nullptr;
};

std::vector<std::string>
names_by_score(std::vector<scored_name> scored)
{
  std::sort(scored.begin(), scored.end(), [](const scored_name& left, const scored_name& right) {
    if (left.score != right.score) {
      return left.score > right.score;
    }
    if (left.tie != right.tie) {
      return left.tie > right.tie;
    }
    return *left.name < *right.name;
  });
  std::vector<std::string> names;
  names.reserve(scored.size());
  for (const scored_name& entry : scored) {
    names.push_back(*entry.name);
  }
  return names;
}

// Maps a hash to the open interval (0, 1).
double
unit_interval(std::uint64_t hash)
{
  constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
  return (static_cast<double>(hash >> 11U) + 0.5) * scale;
}

}

std::uint64_t
rendezvous_score(std::uint64_t item_hash, std::string_view candidate)
{
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(), item_hash);
}

double
weighted_rendezvous_score(std::uint64_t score, double weight)
{
  return weight > 0 ? -weight / std::log(unit_interval(score)) : -std::numeric_limits<double>::infinity();
}

std::vector<std::string>
rendezvous_order(std::uint64_t item_hash, const std::vector<std::string>& candidates)
{
  std::vector<scored_name> scored;
  scored.reserve(candidates.size());
  for (const std::string& name : candidates) {
    scored.push_back({ 0.0, rendezvous_score(item_hash, name), &name });
  }
  return names_by_score(std::move(scored));
}

std::vector<std::string>
weighted_rendezvous_order(std::uint64_t item_hash, const std::vector<weighted_name>& candidates)
{
  std::vector<scored_name> scored;
  scored.reserve(candidates.size());
  for (const weighted_name& candidate : candidates) {
    const std::uint64_t hash = rendezvous_score(item_hash, candidate.name);
    scored.push_back({ weighted_rendezvous_score(hash, candidate.weight), hash, &candidate.name });
  }
  return names_by_score(std::move(scored));
}

std::size_t
rendezvous_rank(std::uint64_t item_hash, const std::vector<std::string>& candidates, std::string_view name)
{
  if (std::find(candidates.begin(), candidates.end(), name) == candidates.end()) {
    return candidates.size();
  }
  const std::uint64_t own = rendezvous_score(item_hash, name);
  return static_cast<std::size_t>(
    std::count_if(candidates.begin(), candidates.end(), [&](const std::string& candidate) {
      const std::uint64_t score = rendezvous_score(item_hash, candidate);
      return score > own || (score == own && candidate < name);
    }));
}

std::uint64_t
hash_text(std::string_view text)
{
  return XXH3_64bits(text.data(), text.size());
}

}
