#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <vector>

namespace coltsfootlock {

/// The families in the text format of Prometheus. Not prometheus::TextSerializer, whose shared library makes each start
/// of a daemon longer.
std::string
metrics_text(const std::vector<prometheus::MetricFamily>& families);

}
