#include "coltsfootlock/coordination/invariant.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace coltsfootlock {

namespace {

std::atomic<bool> abort_enabled = false;
std::atomic<std::uint64_t> failures = 0;

}

bool
check_invariant(bool holds, std::string_view name, std::string_view detail)
{
  if (holds) {
    return true;
  }
  failures.fetch_add(1, std::memory_order_relaxed);
  // Writes to standard error because this layer has no access to the logger, and because the message must be written
  // before an abort.
  const std::string line = "invariant: " + std::string(name) + " failed: " + std::string(detail) + "\n";
  std::fputs(line.c_str(), stderr);
  if (abort_enabled.load(std::memory_order_relaxed)) {
    std::abort();
  }
  return false;
}

void
abort_on_invariant_failure(bool enabled)
{
  abort_enabled.store(enabled, std::memory_order_relaxed);
}

std::uint64_t
invariant_failures()
{
  return failures.load(std::memory_order_relaxed);
}

}
