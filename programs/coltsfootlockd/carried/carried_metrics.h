#pragma once

#include "carried/packet_path.h"
#include "carried/record_path.h"
#include "carried/settings_reloader.h"

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Returns the metric families of the reloads of the settings.
std::vector<prometheus::MetricFamily>
settings_metric_families(const settings_reloader& settings);

/// Returns the metric families of a daemon that routes carried flows. `sent_record_bytes`: answers to other daemons.
std::vector<prometheus::MetricFamily>
carried_metric_families(const steering_engine& engine,
                        const packet_path& packets,
                        const record_path& records,
                        const load_path& loads,
                        const settings_reloader& settings,
                        std::uint64_t sent_record_bytes,
                        std::uint64_t unexpected_errors,
                        bool ready,
                        instant now);

/// Returns the metrics page in the Prometheus text format.
std::string
carried_metrics(const steering_engine& engine,
                const packet_path& packets,
                const record_path& records,
                const load_path& loads,
                const settings_reloader& settings,
                std::uint64_t sent_record_bytes,
                std::uint64_t unexpected_errors,
                bool ready,
                instant now);

}
