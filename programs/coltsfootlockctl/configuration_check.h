#pragma once

#include "coltsfootlock/state/catalogue.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

enum class finding_severity : std::uint8_t
{
  error,
  warning,
};

/// What a finding is about.
enum class finding_subject : std::uint8_t
{
  catalogue,
  service,
  domain,
  target_group,
};

enum class finding_kind : std::uint8_t
{
  version_not_grown, ///< Daemons keep the version in force.

  // Entries that can never match.
  name_taken,                 ///< A service has the name of an earlier one.
  address_taken,              ///< A service has the address of an earlier one, which gets all its flows.
  group_not_listed,           ///< The catalogue lists its target groups, but not one that a service uses.
  group_unused,               ///< No service sends new flows to a listed target group.
  group_listed_twice,         ///< Only the first cold-start rate above 0 of a target group is used.
  group_without_targets,      ///< The target group of a service without a split has no target in the VM list.
  split_part_without_targets, ///< The same for a part of a split that has a weight.
  split_without_weight,       ///< All parts of a split have weight 0.
  split_part_without_weight,  ///< Some parts of a split have weight 0.
  domain_without_vms,         ///< The VM list has neither an entry VM nor a target in a domain.
  domain_not_listed,          ///< VMs are in a domain that the catalogue does not list.

  // Limits that contradict each other.
  cold_slots_above_slots,
  cold_connections_above_connections,
  cold_limits_without_warm_up, ///< Cold limits are below the full limits, but end at once.
  queue_below_slots,           ///< Fewer requests may wait at a daemon than one target runs at once.
  connections_below_slots,     ///< A target may have fewer open flows than it runs requests at once.
  timeout_above_flow_idle,     ///< A request may run longer than its flow is remembered.
  limits_differ_in_group,      ///< Services that share a target group state different limits.
  negative_cold_rate,          ///< A cold-start rate below 0 has no effect.
};

/// Name of a kind as in the JSON output, for example "address_taken".
const char*
to_string(finding_kind kind);

const char*
to_string(finding_severity severity);

/// Name as in the output, for example "target group".
const char*
to_string(finding_subject subject);

finding_severity
severity_of(finding_kind kind);

/// A problem of a catalogue that could be parsed.
struct configuration_finding
{
  finding_kind kind = finding_kind::version_not_grown;
  finding_subject subject = finding_subject::catalogue;
  std::string name; ///< Of the service, domain or target group; empty for the catalogue.
  std::string problem;
  std::string remedy;

  auto operator<=>(const configuration_finding&) const = default;
};

/// One line, for example "service feed: its address 10.0.0.1:80 belongs to service maps; give it its own".
std::string
to_string(const configuration_finding& value);

/// Finds entries that can never match and limits that contradict each other, in the order of the catalogue. Without a
/// VM list (`vms` is null), and in a catalogue that lists no domains or target groups, the checks that need them are
/// omitted.
std::vector<configuration_finding>
check_configuration(const catalogue& value, const vm_list* vms);

/// Finds a version that does not replace the one in force.
std::optional<configuration_finding>
check_version(const catalogue& in_force, const catalogue& value);

}
