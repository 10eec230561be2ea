#include "coltsfootlock/transport/wake_event.h"

#include <cstdint>

#include <sys/eventfd.h>
#include <unistd.h>

namespace coltsfootlock {

wake_event::wake_event()
  : descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

wake_event::~wake_event()
{
  if (descriptor_ >= 0) {
    ::close(descriptor_);
  }
}

void
wake_event::signal() const
{
  const std::uint64_t one = 1;
  // The only failure is a counter at its maximum, and then the event is signalled already.
  [[maybe_unused]] const ssize_t written = ::write(descriptor_, &one, sizeof(one));
}

void
wake_event::clear() const
{
  std::uint64_t count = 0;
  // Fails if the event is not signalled, which is the state asked for.
  [[maybe_unused]] const ssize_t taken = ::read(descriptor_, &count, sizeof(count));
}

int
wake_event::descriptor() const
{
  return descriptor_;
}

}
