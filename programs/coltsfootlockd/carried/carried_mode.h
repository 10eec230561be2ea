#pragma once

#include "setting_values.h"

namespace coltsfootlock {

/// Checks the settings of a daemon that routes carried flows, and runs it until SIGTERM unless `only_check` is set.
/// `given`: flags and environment, with which the settings file is read again whenever it changes; `values`: the same
/// with what the file says now. Returns the exit code of the process.
int
run_carried_mode(const value_map& given, const value_map& values, bool only_check);

}
