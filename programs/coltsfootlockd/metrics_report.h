#pragma once

#include "metrics_input.h"

#include <prometheus/metric_family.h>

#include <vector>

namespace coltsfootlock {

/// All metrics of the daemon; docs/METRICS.md describes them.
std::vector<prometheus::MetricFamily>
metrics_report(const metrics_input& input);

}
