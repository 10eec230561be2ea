#include "exit_codes.h"
#include "recorded_mode.h"

#include <iostream>

namespace coltsfootlock {

int
run_recorded_mode(const value_map&, bool)
{
  std::cerr << "coltsfootlockd: this build routes carried flows only; give --flow-routing carried, or build with "
               "COLTSFOOTLOCK_RECORDED_FLOWS=ON\n";
  return exit_wrong_settings;
}

}
