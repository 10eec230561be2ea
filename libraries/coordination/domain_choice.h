#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace coltsfootlock {

/// Chooses the domain in which a request of one group that enters here runs, so that slots are used evenly over the
/// domains with the least traffic between domains.
class domain_choice
{
public:
  struct domain_load
  {
    double entries = 0;  ///< Number of entry VMs that receive traffic.
    double capacity = 0; ///< Slots of targets that can be reached and may be used.
  };

  domain_choice() = default;
  domain_choice(const std::vector<domain_load>& domains, std::size_t own);

  /// Index of the domain for a request with this hash; empty if no domain has capacity.
  std::optional<std::size_t> choose(std::uint64_t request_hash) const;

private:
  struct interval
  {
    std::size_t domain = 0;
    double upper_end = 0; ///< Upper end of the domain's interval within [0, 1).
  };
  std::vector<interval> intervals_;
};

}
