#pragma once

#include "coltsfootlock/state/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace coltsfootlock {

/// Limits this daemon's calls to the platform to two in any second, for all records together.
class platform_budget
{
public:
  /// Returns true and counts the call if one may be made now.
  bool try_acquire(instant now);

private:
  static constexpr std::size_t calls_per_second = 2;
  std::array<std::optional<instant>, calls_per_second> recent_;
  std::size_t oldest_ = 0;
};

}
