#pragma once

#include "coltsfootlock/state/time.h"

namespace coltsfootlock {

/// The present time on a clock that also runs while the VM is suspended (CLOCK_BOOTTIME), so that knowledge from before
/// a pause is as old as it is.
instant
boot_clock_now();

}
