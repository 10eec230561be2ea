#pragma once

#include "setting_values.h"

namespace coltsfootlock {

/// Validates the settings of a daemon that routes recorded flows, and runs the daemon unless `only_check` is set.
/// Returns the exit code of the process.
int
run_recorded_mode(const value_map& values, bool only_check);

}
