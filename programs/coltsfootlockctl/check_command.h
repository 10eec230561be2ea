#pragma once

#include "ctl_arguments.h"
#include "exit_code.h"

#include <ostream>

namespace coltsfootlock {

/// Validates the file that the arguments name and writes the errors, the warnings and, if a file with the version in
/// force is given, the differences.
exit_code
check_command(const ctl_arguments& arguments, std::ostream& output);

}
