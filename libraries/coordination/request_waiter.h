#pragma once

#include "coltsfootlock/state/flow_key.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace coltsfootlock {

/// One attempt of a caller, which gets exactly one answer or refusal.
struct request_waiter
{
  flow_key flow;
  std::uint64_t request_id = 0;
  std::uint32_t attempt = 1;

  auto operator<=>(const request_waiter&) const = default;
};

}
