#pragma once

#include <string>

namespace coltsfootlock {

/// A flag of a program.
struct flag_definition
{
  std::string name; ///< Without the leading dashes.
  std::string unit; ///< Empty for a flag without a value.
};

}
