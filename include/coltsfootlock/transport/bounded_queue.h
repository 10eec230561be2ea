#pragma once

#include "coltsfootlock/transport/wake_event.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace coltsfootlock {

/// Passes items between threads. A full queue refuses the item and counts it, so that a slow reader cannot exhaust the
/// memory or block the writer.
template<typename Item>
class bounded_queue
{
public:
  /// `wake`, if given, is signalled for each item and must outlive the queue.
  explicit bounded_queue(std::size_t capacity, const wake_event* wake = nullptr)
    : capacity_(capacity)
    , wake_(wake)
  {
  }

  /// False if the queue is full or closed.
  bool push(Item item)
  {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.size() >= capacity_) {
        ++dropped_;
        return false;
      }
      items_.push_back(std::move(item));
    }
    available_.notify_one();
    if (wake_ != nullptr) {
      wake_->signal();
    }
    return true;
  }

  /// All waiting items; never blocks.
  std::deque<Item> take_all()
  {
    const std::lock_guard lock(mutex_);
    return std::exchange(items_, {});
  }

  /// Blocks for the next item; empty once the queue is closed.
  std::optional<Item> wait()
  {
    std::unique_lock lock(mutex_);
    available_.wait(lock, [this] { return closed_ || !items_.empty(); });
    if (closed_) {
      return std::nullopt;
    }
    std::optional<Item> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  /// Refuses further items and releases the threads in wait(). Waiting items are discarded.
  void close()
  {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
      items_.clear();
    }
    available_.notify_all();
  }

  std::uint64_t dropped() const
  {
    const std::lock_guard lock(mutex_);
    return dropped_;
  }

private:
  const std::size_t capacity_;
  const wake_event* const wake_;
  mutable std::mutex mutex_;
  std::condition_variable available_;
  std::deque<Item> items_;
  std::uint64_t dropped_ = 0;
  bool closed_ = false;
};

}
