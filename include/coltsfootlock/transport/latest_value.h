#pragma once

#include "coltsfootlock/transport/wake_event.h"

#include <memory>
#include <mutex>
#include <utility>

namespace coltsfootlock {

/// Publishes immutable snapshots between threads. Only the newest one is kept, so that none can be dropped.
template<typename Value>
class latest_value
{
public:
  /// `wake`, if given, is signalled for each snapshot and must outlive this object.
  explicit latest_value(const wake_event* wake = nullptr)
    : wake_(wake)
  {
  }

  void publish(std::shared_ptr<const Value> value)
  {
    {
      const std::lock_guard lock(mutex_);
      value_ = std::move(value);
    }
    if (wake_ != nullptr) {
      wake_->signal();
    }
  }

  /// Null until the first publication.
  std::shared_ptr<const Value> get() const
  {
    const std::lock_guard lock(mutex_);
    return value_;
  }

private:
  const wake_event* const wake_;
  mutable std::mutex mutex_;
  std::shared_ptr<const Value> value_;
};

}
