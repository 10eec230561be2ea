#pragma once

#include "control_snapshot.h"
#include "traffic_snapshot.h"

#include "coltsfootlock/state/time.h"

#include <cstdint>
#include <memory>

namespace coltsfootlock {

/// The values from which the metrics of one scrape are computed.
struct metrics_input
{
  std::shared_ptr<const control_snapshot> control;
  std::shared_ptr<const traffic_snapshot> traffic;
  std::uint64_t call_bytes_sent = 0;
  std::uint64_t call_bytes_received = 0;
  std::uint64_t platform_bytes_received = 0;
  std::uint64_t load_bytes_received = 0;
  std::uint64_t calls_refused = 0;
  std::uint64_t dropped_log_lines = 0;
  std::uint64_t dropped_reports = 0;
  std::uint64_t dropped_results = 0;
  std::uint64_t dropped_commands = 0;
  std::uint64_t dropped_jobs = 0;
  std::uint64_t invariant_failures = 0;
  instant now{};
};

}
