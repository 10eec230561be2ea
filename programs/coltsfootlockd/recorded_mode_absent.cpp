#include "exit_codes.h"
#include "recorded_mode.h"

namespace coltsfootlock {

int
run_recorded_mode(const value_map&, bool)
{
  return fail(exit_invalid_settings,
              { error_kind::unavailable,
                "this build supports carried flows only; set --flow-routing carried, or build with "
                "COLTSFOOTLOCK_RECORDED_FLOWS=ON" });
}

}
