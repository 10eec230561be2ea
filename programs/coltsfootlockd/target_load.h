#pragma once

#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/packet.h"

#include <optional>
#include <string>

namespace coltsfootlock {

/// Parses the response of a target to GET /load. Only the incarnation and the condition are used, because the load
/// figures may be out of date.
std::optional<target_report>
parse_target_load(const std::string& text, error& why);

}
