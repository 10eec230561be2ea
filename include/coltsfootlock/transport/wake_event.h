#pragma once

namespace coltsfootlock {

/// Wakes a thread that waits in poll(). Signals that arrive before clear() count once.
class wake_event
{
public:
  wake_event();
  ~wake_event();
  wake_event(const wake_event&) = delete;
  wake_event& operator=(const wake_event&) = delete;

  /// Safe from any thread and from signal handlers.
  void signal() const;
  void clear() const;

  /// Readable while signalled.
  int descriptor() const;

private:
  int descriptor_ = -1;
};

}
