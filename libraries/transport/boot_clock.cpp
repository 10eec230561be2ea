#include "coltsfootlock/transport/boot_clock.h"

#include <ctime>

namespace coltsfootlock {

instant
boot_clock_now()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}
