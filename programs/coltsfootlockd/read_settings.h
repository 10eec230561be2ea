#pragma once

#include "coltsfootlock/state/error.h"
#include "settings.h"

#include <map>
#include <optional>
#include <string>

namespace coltsfootlock {

/// Validates the values, which are given by flag name. Empty if one is wrong; `why` then names the flag, its value and
/// the remedy.
std::optional<settings>
read_settings(const std::map<std::string, std::string>& values, error& why);

}
