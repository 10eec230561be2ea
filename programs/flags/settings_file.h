#pragma once

#include "coltsfootlock/state/error.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootlock {

/// Reads lines of the form "flag = value". Lines that are empty or begin with '#' are skipped, and so is a flag without
/// a value. Empty with the reason and the line number in `why` if a line has another form or a flag is given twice.
std::optional<std::map<std::string, std::string>>
parse_settings_file(std::string_view text, error& why);

/// Reads and parses a file. `text` receives its content, so that the caller can detect a later change.
std::optional<std::map<std::string, std::string>>
read_settings_file(const std::string& path, std::string& text, error& why);

}
