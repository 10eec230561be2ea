#pragma once

#include "setting_values.h"

namespace coltsfootlock {

/// Checks the settings of a daemon that routes carried flows, and runs it until SIGTERM unless `only_check` is set.
/// `given`: flags and environment; the settings file that they name is read here and again whenever it changes. Returns
/// the exit code of the process.
int
run_carried_mode(const value_map& given, bool only_check);

}
