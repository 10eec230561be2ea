#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "name_registry.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace coltsfootlock {

/// Computes the domain order of flows and the ranking of daemons within a domain from one routing view. Daemons with
/// equal views get equal results, except that each daemon always counts itself as alive.
class flow_order
{
public:
  static constexpr std::size_t ranked_members = 3;
  using ranking = std::array<std::uint32_t, ranked_members>;

  flow_order(const routing_view& view, name_registry& names);

  /// The domain with the highest weighted score among those in service with targets; `none` if there is none.
  std::uint32_t first_domain(std::uint32_t group, std::uint64_t flow_hash) const;

  /// Fills `domains` with all domains in service in the order of the flow. Domains with targets come first; returns
  /// their number.
  std::size_t domains_of(std::uint32_t group, std::uint64_t flow_hash, std::vector<std::uint32_t>& domains) const;

  /// The highest ranked daemons of the domain that are alive and not leaving, filled up with `none`. The daemon
  /// `assumed_alive` counts as alive.
  ranking members_of(std::uint32_t domain, std::uint64_t flow_hash, std::uint32_t assumed_alive = 0) const;

  bool reachable(std::uint32_t domain) const;
  bool in_service(std::uint32_t domain) const;

  /// True if the first `count` listed daemons of the domain for the flow are alive and have finished their start-up.
  bool all_alive_and_started(std::uint32_t domain, std::uint64_t flow_hash, std::size_t count) const;

private:
  struct member
  {
    std::uint32_t id = 0;
    const std::string* name = nullptr;
    bool alive = false;
    bool leaving = false;
    bool starting = false;
  };
  struct domain
  {
    std::uint32_t id = 0;
    const std::string* name = nullptr;
    bool in_service = true;
    std::vector<member> members;
  };
  struct scored_domain
  {
    double score = 0;
    std::uint64_t hash = 0;
    const domain* value = nullptr;
  };

  const domain* find(std::uint32_t id) const;
  double weight_of(std::uint32_t group, std::size_t index) const;
  scored_domain score(std::size_t index, std::uint32_t group, std::uint64_t flow_hash) const;
  static bool precedes(const scored_domain& left, const scored_domain& right);
  void add_weights(const routing_view& view, name_registry& names);

  std::vector<domain> domains_;
  std::unordered_map<std::uint32_t, std::vector<double>> weights_; ///< By group, then in the order of `domains_`.
  mutable std::vector<scored_domain> scratch_;                     ///< Kept to avoid an allocation per packet.
};

}
