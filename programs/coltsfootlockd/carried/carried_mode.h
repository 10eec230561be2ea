#pragma once

#include "setting_values.h"

namespace coltsfootlock {

/// Checks the settings of a daemon that routes carried flows, and runs it until SIGTERM unless `only_check` is set.
/// `given`: flags and environment, used to reload the settings file whenever it changes; `values`: the same merged with
/// the current contents of the file. Returns the exit code of the process.
int
run_carried_mode(const value_map& given, const value_map& values, bool only_check);

}
