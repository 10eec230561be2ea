#pragma once

#include "coltsfootlock/state/error.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// The arguments and the environment of the process, before the values are validated.
struct command_line
{
  enum class purpose
  {
    run,
    check_settings,
    help,
    version,
  };

  purpose requested = purpose::run;
  std::map<std::string, std::string> values; ///< By flag without dashes. An argument takes precedence over a variable.

  /// Empty with the reason in `why` if an argument is unknown or incomplete.
  static std::optional<command_line> parse(const std::vector<std::string>& arguments,
                                           const std::map<std::string, std::string>& environment,
                                           error& why);
};

/// Adds the values of the settings file that --config names to those of the command line, which take precedence. Empty
/// with the reason in `why` if the file cannot be read or has an unknown flag.
std::optional<std::map<std::string, std::string>>
effective_values(const std::map<std::string, std::string>& values, error& why);

/// The text of --help.
std::string
help_text();

}
