#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <vector>

namespace coltsfootlock {

/// Serialises the families in the text format of Prometheus. prometheus::TextSerializer is not used, because loading
/// its shared library slows down each start of a daemon.
std::string
metrics_text(const std::vector<prometheus::MetricFamily>& families);

}
