// A poll loop with timers for the stand-ins of this review.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

namespace review {

/// Milliseconds of the steady clock.
std::int64_t
now_ms();

class event_loop
{
public:
  using callback = std::function<void()>;

  /// Calls `ready` whenever `descriptor` can be read, or written if `writable`.
  void watch(int descriptor, callback ready, bool writable = false);
  void forget(int descriptor);

  void at(std::int64_t time_ms, callback work);
  void after(std::int64_t delay_ms, callback work) { at(now_ms() + delay_ms, std::move(work)); }

  void run_until(std::int64_t time_ms);

private:
  struct watched
  {
    callback ready;
    bool writable = false;
  };

  void run_due_timers();

  std::map<int, watched> watched_;
  std::multimap<std::int64_t, callback> timers_;
};

}
