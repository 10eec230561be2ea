#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootlock {

/// A candidate of a weighted rendezvous choice.
struct weighted_name
{
  std::string name;
  double weight = 1.0; ///< Candidates with weight 0 or less come last.
};

/// Score of one candidate for an item. All daemons compute the same value; the highest score wins.
std::uint64_t
rendezvous_score(std::uint64_t item_hash, std::string_view candidate);

/// The weighted score: -weight / ln(u), where u is derived from the hash and uniform in (0, 1). Returns negative
/// infinity if the weight is not positive.
double
weighted_rendezvous_score(std::uint64_t score, double weight);

/// Names ordered from the most to the least preferred for the item.
std::vector<std::string>
rendezvous_order(std::uint64_t item_hash, const std::vector<std::string>& candidates);

/// Like rendezvous_order, but each candidate comes first with a probability in proportion to its weight.
std::vector<std::string>
weighted_rendezvous_order(std::uint64_t item_hash, const std::vector<weighted_name>& candidates);

/// Position of `name` in rendezvous_order, or candidates.size() if it is absent.
std::size_t
rendezvous_rank(std::uint64_t item_hash, const std::vector<std::string>& candidates, std::string_view name);

/// XXH3 hash of a text. All daemons compute the same value.
std::uint64_t
hash_text(std::string_view text);

}
