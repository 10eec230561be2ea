#pragma once

#include "flag_definition.h"

#include "coltsfootlock/state/error.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coltsfootlock {

/// The arguments of a program, before the values are validated.
struct parsed_flags
{
  std::map<std::string, std::string> values; ///< Flags that have a value.
  std::set<std::string> switches;            ///< Flags without a value that were given.
  std::vector<std::string> positional;       ///< Positional arguments.

  /// `arguments` begins with the name of the program. Empty with the reason in `why` if a flag is unknown, incomplete
  /// or given twice, or if there are positional arguments although `accepts_positional` is not set.
  static std::optional<parsed_flags> parse(std::vector<std::string> arguments,
                                           const std::vector<flag_definition>& definitions,
                                           bool accepts_positional,
                                           error& why);
};

}
