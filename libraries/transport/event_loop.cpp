#include "coltsfootlock/transport/event_loop.h"

#include <utility>

namespace coltsfootlock {

void
event_loop::add(int descriptor, std::function<void()> on_readable)
{
  descriptors_.push_back({ descriptor, POLLIN, 0 });
  handlers_.push_back(std::move(on_readable));
}

int
event_loop::run_once(milliseconds limit)
{
  const int ready = ::poll(descriptors_.data(), descriptors_.size(), static_cast<int>(limit.count()));
  if (ready <= 0) {
    return 0;
  }
  int called = 0;
  for (std::size_t index = 0; index < descriptors_.size(); ++index) {
    if (descriptors_[index].revents == 0) {
      continue;
    }
    handlers_[index]();
    ++called;
  }
  return called;
}

}
