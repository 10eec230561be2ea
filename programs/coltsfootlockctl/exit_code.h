#pragma once

namespace coltsfootlock {

/// Exit codes of coltsfootlockctl.
enum class exit_code : int
{
  success = 0,
  refused = 1,     ///< The checked file has errors, or a daemon refused the call.
  usage = 2,       ///< Wrong arguments.
  warnings = 3,    ///< The checked file is valid but has warnings.
  unavailable = 4, ///< At least one daemon did not answer within a second.
  unreadable = 5,  ///< A file cannot be read.
};

}
