#include "coltsfootlock/transport/log_level.h"

namespace coltsfootlock {

const char*
to_string(log_level value)
{
  switch (value) {
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      return "error";
  }
  return "unknown";
}

std::optional<log_level>
parse_log_level(std::string_view text)
{
  for (const log_level level : { log_level::debug, log_level::info, log_level::warning, log_level::error }) {
    if (text == to_string(level)) {
      return level;
    }
  }
  return std::nullopt;
}

}
