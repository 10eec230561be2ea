#include "class_queues.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

constexpr seconds starvation_limit{ 1 };

}

void
class_queues::push(service_class urgency, std::uint64_t request, instant now)
{
  class_queue& target = queue(urgency);
  if (target.requests.empty()) {
    target.waiting_since = now;
  }
  target.requests.insert(request);
}

bool
class_queues::remove(service_class urgency, std::uint64_t request)
{
  return queue(urgency).requests.erase(request) > 0;
}

void
class_queues::on_dispatch(service_class urgency, instant now)
{
  queue(urgency).waiting_since = now;
}

void
class_queues::clear()
{
  for (class_queue& each : queues_) {
    each.requests.clear();
  }
}

std::array<service_class, service_class_count>
class_queues::order(instant now) const
{
  std::array<service_class, service_class_count> classes{ service_class::urgent,
                                                          service_class::normal,
                                                          service_class::bulk };
  const auto starved = [&](service_class urgency) {
    const class_queue& candidate = queue(urgency);
    return !candidate.requests.empty() && now - candidate.waiting_since >= starvation_limit;
  };
  std::stable_sort(classes.begin(), classes.end(), [&](service_class left, service_class right) {
    if (starved(left) != starved(right)) {
      return starved(left);
    }
    return starved(left) && queue(left).waiting_since < queue(right).waiting_since;
  });
  return classes;
}

std::size_t
class_queues::size() const
{
  return size_up_to(service_class::bulk);
}

std::size_t
class_queues::size_up_to(service_class urgency) const
{
  std::size_t sum = 0;
  for (std::size_t index = 0; index <= static_cast<std::size_t>(urgency); ++index) {
    sum += queues_[index].requests.size();
  }
  return sum;
}

}
