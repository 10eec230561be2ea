#pragma once

#include "coltsfootlock/state/time.h"

#include <functional>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

/// Waits for readable descriptors and calls their handlers. Belongs to one thread.
class event_loop
{
public:
  /// The descriptor must stay open as long as the loop runs.
  void add(int descriptor, std::function<void()> on_readable);

  /// Waits until a descriptor is readable or `limit` has passed, and calls the handlers of the readable ones in the
  /// order of their addition. Returns the number of handlers called.
  int run_once(milliseconds limit);

private:
  std::vector<pollfd> descriptors_;
  std::vector<std::function<void()>> handlers_;
};

}
