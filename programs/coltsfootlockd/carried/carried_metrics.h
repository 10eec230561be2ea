#pragma once

#include "carried/packet_path.h"
#include "carried/record_path.h"

#include <string>

namespace coltsfootlock {

/// The page of the metrics address, in the text format of Prometheus.
std::string
carried_metrics(const steering_engine& engine,
                const packet_path& packets,
                const record_path& records,
                bool ready,
                instant now);

}
