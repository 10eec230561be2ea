#pragma once

#include "coltsfootlock/state/service.h"
#include "coltsfootlock/state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>

namespace coltsfootlock {

/// Requests queued for the targets of one group, by class. Classes have strict priority, except that a class without a
/// dispatch for 1 s comes first.
class class_queues
{
public:
  void push(service_class urgency, std::uint64_t request, instant now);
  bool remove(service_class urgency, std::uint64_t request);
  void on_dispatch(service_class urgency, instant now);
  void clear();

  /// Classes in the order in which the next free slot is offered to them.
  std::array<service_class, service_class_count> order(instant now) const;

  /// Queued requests of the class in order of arrival.
  const std::set<std::uint64_t>& waiting(service_class urgency) const { return queue(urgency).requests; }
  std::size_t size() const;

  /// Number of requests of this class and of more urgent classes.
  std::size_t size_up_to(service_class urgency) const;
  bool empty() const { return size() == 0; }

private:
  struct class_queue
  {
    std::set<std::uint64_t> requests;
    instant waiting_since{}; ///< Time of the last dispatch, or of the first push into the empty queue.
  };

  const class_queue& queue(service_class urgency) const { return queues_[static_cast<std::size_t>(urgency)]; }
  class_queue& queue(service_class urgency) { return queues_[static_cast<std::size_t>(urgency)]; }

  std::array<class_queue, service_class_count> queues_;
};

}
