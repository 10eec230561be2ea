#include "carried/time_histogram.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfootlock {

time_histogram::time_histogram(std::vector<double> bounds)
  : bounds_(std::move(bounds))
  , counts_(bounds_.size() + 1)
{
}

void
time_histogram::observe(duration time)
{
  const double value = std::chrono::duration<double>(time).count();
  const auto bucket = std::lower_bound(bounds_.begin(), bounds_.end(), value) - bounds_.begin();
  ++counts_[static_cast<std::size_t>(bucket)];
  sum_ += value;
}

prometheus::ClientMetric
time_histogram::collect() const
{
  prometheus::ClientMetric metric;
  std::uint64_t total = 0;
  for (std::size_t index = 0; index < counts_.size(); ++index) {
    total += counts_[index];
    const bool last = index == bounds_.size();
    metric.histogram.bucket.push_back({ total, last ? std::numeric_limits<double>::infinity() : bounds_[index] });
  }
  metric.histogram.sample_count = total;
  metric.histogram.sample_sum = sum_;
  return metric;
}

}
