#pragma once

#include "coltsfootlock/state/error.h"

#include <iostream>

namespace coltsfootlock {

inline constexpr int exit_start_failed = 1;
inline constexpr int exit_invalid_settings = 2;

/// Writes the error to standard error and returns `code`, the exit code of the process.
inline int
fail(int code, const error& why)
{
  std::cerr << "coltsfootlockd: " << why.message << '\n';
  return code;
}

}
