#pragma once

#include <string>
#include <vector>

namespace coltsfootlock {

/// One documented setting.
struct setting_definition
{
  std::string flag; ///< Without the leading dashes.
  std::string unit;
  std::string default_value; ///< Empty for a required or an optional setting.
  std::string range;
  std::string description;

  /// COLTSFOOTLOCK_ and the flag in capitals, with underscores.
  std::string variable() const;
};

/// All settings, in the order of --help.
const std::vector<setting_definition>&
setting_definitions();

/// Settings that are read from the environment only, because the arguments of a process are visible to all users.
const std::vector<setting_definition>&
secret_definitions();

}
