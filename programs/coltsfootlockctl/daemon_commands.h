#pragma once

#include "ctl_arguments.h"
#include "exit_code.h"

#include <ostream>

namespace coltsfootlock {

/// Shows the state of daemons.
exit_code
status_command(const ctl_arguments& arguments, std::ostream& output);

/// Shows the route of a flow or request.
exit_code
explain_command(const ctl_arguments& arguments, std::ostream& output);

}
