#pragma once

#include "coltsfootlock/state/load_totals.h"
#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace coltsfootlock {

/// How much a daemon exchanges about loads.
struct load_exchange_limits
{
  std::size_t sent_rows = load_limits::max_rows;    ///< To the source of the records.
  std::size_t own_rows = load_limits::max_rows;     ///< Of the own domain, in totals.
  std::size_t foreign_rows = load_limits::max_rows; ///< Of all other domains, in totals.
  std::size_t asked_domains = 32;                   ///< Other domains that the reader of the store asks.
  milliseconds asking_interval = load_window;       ///< Between two calls to the same domain.

  auto operator<=>(const load_exchange_limits&) const = default;
};

/// Deployments with more other domains have reduced limits.
inline constexpr std::size_t max_other_domains = 8;

/// The limits in a deployment with this many other domains.
///
/// Load pattern: 1,600 daemons before 13,000 targets in 28 domains, where a daemon may send 5 KB of control messages a
/// second. With reduced limits a daemon without followers sends 1.5 KB/s under load, and one with 7 followers 7 KB/s;
/// see docs/design/load-sharing.md.
load_exchange_limits
exchange_limits(std::size_t other_domains);

/// The domains that the daemons of `own_domain` ask: all of `domains`, or `limit` of them, chosen so that each domain
/// is asked by about as many others.
std::vector<std::string>
choose_asked_domains(const std::string& own_domain, std::vector<std::string> domains, std::size_t limit);

}
