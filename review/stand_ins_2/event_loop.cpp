#include "event_loop.h"

#include <algorithm>
#include <ctime>
#include <utility>
#include <vector>

#include <poll.h>

namespace review {

std::int64_t
now_ms()
{
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

void
event_loop::watch(int descriptor, callback ready, bool writable)
{
  watched_[descriptor] = { std::move(ready), writable };
}

void
event_loop::forget(int descriptor)
{
  watched_.erase(descriptor);
}

void
event_loop::at(std::int64_t time_ms, callback work)
{
  timers_.emplace(time_ms, std::move(work));
}

void
event_loop::run_due_timers()
{
  while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
    const callback work = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    work();
  }
}

void
event_loop::run_until(std::int64_t time_ms)
{
  while (now_ms() < time_ms) {
    std::vector<pollfd> polled;
    polled.reserve(watched_.size());
    for (const auto& [descriptor, one] : watched_) {
      polled.push_back({ descriptor, static_cast<short>(one.writable ? POLLOUT : POLLIN), 0 });
    }
    const std::int64_t next = timers_.empty() ? time_ms : std::min(time_ms, timers_.begin()->first);
    poll(polled.data(), polled.size(), static_cast<int>(std::clamp<std::int64_t>(next - now_ms(), 0, 50)));
    for (const pollfd& one : polled) {
      const auto found = watched_.find(one.fd);
      if (one.revents != 0 && found != watched_.end()) {
        const callback ready = found->second.ready; // The callback may forget its descriptor.
        ready();
      }
    }
    run_due_timers();
  }
}

}
