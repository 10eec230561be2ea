#pragma once

#include "coltsfootlock/state/catalogue.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/vm_list.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootlock {

inline constexpr std::size_t max_record_bytes = 1024 * 1024; ///< The platform holds values up to a megabyte.

/// Parses and checks a catalogue. Empty with the reason in `why` (the field's path, the problem and the remedy) if any
/// check fails: a catalogue is taken whole or not at all.
std::optional<catalogue>
parse_catalogue(std::string_view text, error& why);

std::optional<vm_list>
parse_vm_list(std::string_view text, error& why);

/// Allowed but risky: a group without targets, a domain with one entry VM, a limit below the number of entry VMs of a
/// domain, a service without a domain in service. `vms` may be null, as it must be for a catalogue that does not state
/// failure domains.
std::vector<std::string>
catalogue_warnings(const catalogue& value, const vm_list* vms);

}
