#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace coltsfootlock {

enum class log_level : std::uint8_t
{
  debug,
  info,
  warning,
  error,
};

const char*
to_string(log_level value);

/// Empty unless the text is one of debug, info, warning and error.
std::optional<log_level>
parse_log_level(std::string_view text);

}
