#pragma once

#include <cstdint>
#include <string_view>

namespace coltsfootlock {

/// Checks a named invariant: counts and logs a failure, and aborts the process if abort_on_invariant_failure(true) was
/// called. Returns `holds`.
bool
check_invariant(bool holds, std::string_view name, std::string_view detail);

/// Enables aborts on failed invariants, for tests and randomised runs; off by default.
void
abort_on_invariant_failure(bool enabled);

/// Number of failed invariants since the start of the process.
std::uint64_t
invariant_failures();

}
