#pragma once

#include "coltsfootlock/transport/log_level.h"

#include <cstdint>
#include <ostream>
#include <string_view>

namespace coltsfootlock {

/// Starts the log: lines of at least `lowest` are written to `output` by a thread of its own, as
/// "2026-01-31T12:00:00.000000Z info part: message". Lines are discarded before the start and after the stop.
void
start_log(std::ostream& output, log_level lowest);

/// Starts the log without a thread: lines wait in memory until flush_log() writes them to the descriptor. For daemons
/// on a small part of a core, where each wake-up of a thread costs more than the line.
void
start_unthreaded_log(int descriptor, log_level lowest);

/// Writes what the descriptor takes without blocking; for start_unthreaded_log.
void
flush_log();

/// Writes the waiting lines and ends the thread. `output` is not used afterwards.
void
stop_log();

/// Never blocks. Control characters in `message` are written as spaces, so that an entry is always one line.
void
write_log(log_level level, std::string_view part, std::string_view message);

/// Lines lost because too many waited.
std::uint64_t
dropped_log_lines();

}
