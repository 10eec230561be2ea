#pragma once

#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/service.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootlock {

struct failure_domain
{
  std::string name;
  bool in_service = true;

  auto operator<=>(const failure_domain&) const = default;
};

/// What cold targets of a group bear, where the catalogue states it as a rate.
struct cold_start_rate
{
  std::string target_group;
  double opens_per_second = 0; ///< New flows of one cold target, over all daemons.

  auto operator<=>(const cold_start_rate&) const = default;
};

/// A value of services that is not usable. The services are used without it.
struct ignored_value
{
  std::string field; ///< As the operators write it.
  error_kind kind = error_kind::none;
  std::uint32_t count = 0;   ///< Services with such a value.
  std::string first_service; ///< Name of the first of them.
  std::string remedy;

  auto operator<=>(const ignored_value&) const = default;
};

/// Kinds of errors of ignored values.
inline constexpr std::array ignored_value_kinds{ error_kind::missing_field,
                                                 error_kind::wrong_type,
                                                 error_kind::out_of_range };

/// What operators published. Versions only grow; a roll-back is a new version.
struct catalogue
{
  std::uint64_t version = 0;
  std::uint64_t digest = 0; ///< XXH3 of the published text; tells two texts with one version apart.
  std::vector<failure_domain> failure_domains;
  std::vector<service> services;
  std::vector<cold_start_rate> cold_starts;
  std::uint32_t flow_idle_ms = 0; ///< Flows without packets for this long may be forgotten; 0 if it is not stated.
  std::vector<ignored_value> ignored_values; ///< One entry for each field and kind; known to readers of the store only.
  std::string text;                          ///< The published JSON, kept so that peers can fetch it unchanged.

  auto operator<=>(const catalogue&) const = default;
};

}
