#pragma once

#include "control_snapshot.h"
#include "settings.h"
#include "traffic_snapshot.h"

#include "coltsfootlock/state/time.h"

#include <string>

namespace coltsfootlock {

/// The result of the call `status`, as JSON text.
std::string
status_report(const settings& values, const control_snapshot& control, const traffic_snapshot& traffic, instant now);

}
