#pragma once

#include "coltsfootlock/state/catalogue.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/record_change.h"

#include <optional>

namespace coltsfootlock {

/// The catalogue that a record of the platform's store publishes. Empty with the reason in `why` if the record cannot
/// be parsed or is no catalogue; `change` is empty for a key that the load balancer does not use.
std::optional<catalogue>
catalogue_of(const std::optional<record_change>& change, error& why);

}
