#pragma once

#include "coltsfootlock/state/catalogue.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootlock {

enum class difference_kind : std::uint8_t
{
  service_added,
  service_removed,
  service_changed, ///< One field of a service.
  domain_added,
  domain_removed,
  domain_taken_out,      ///< Out of service now.
  domain_put_in_service, ///< In service again.
  target_group_added,    ///< Among the target groups with cold-start rates.
  target_group_removed,
  cold_rate_changed,
  setting_changed, ///< A field of the catalogue itself.
};

/// Name of a kind as in the JSON output, for example "service_added".
const char*
to_string(difference_kind kind);

/// One difference between two catalogues.
struct configuration_difference
{
  difference_kind kind = difference_kind::setting_changed;
  std::string name;   ///< Of the service, domain or target group; empty for a setting.
  std::string field;  ///< Path as in the catalogue, for example "limits.slots"; empty if the entry has no such field.
  std::string before; ///< Value in the version in force; empty for what was added.
  std::string after;  ///< Value in the new version; empty for what was removed.

  auto operator<=>(const configuration_difference&) const = default;
};

/// One line, for example "service feed: queue_limit 256 -> 128".
std::string
to_string(const configuration_difference& value);

/// Compares the services (by name, a repeated name by its position among the equal ones), domains, target groups with
/// cold-start rates and settings of two catalogues. The order of entries, the version and the published text are not
/// compared.
std::vector<configuration_difference>
compare_configurations(const catalogue& in_force, const catalogue& value);

}
