#pragma once

#include "coltsfootlock/state/time.h"

#include <prometheus/client_metric.h>

#include <cstdint>
#include <vector>

namespace coltsfootlock {

/// A histogram of durations. prometheus::Histogram is not used because its shared library slows down each start of a
/// daemon.
class time_histogram
{
public:
  /// `bounds`: upper bounds of the buckets in seconds, ascending.
  explicit time_histogram(std::vector<double> bounds);

  void observe(duration time);

  prometheus::ClientMetric collect() const;

private:
  std::vector<double> bounds_;
  std::vector<std::uint64_t> counts_; ///< One more than bounds; the last one counts times above all bounds.
  double sum_ = 0;
};

}
