#pragma once

#include "coltsfootlock/state/endpoint.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// Identifies a flow or the two ends of a request by the endpoints of caller and service.
struct flow_key
{
  endpoint caller;
  endpoint service;

  auto operator<=>(const flow_key&) const = default;
};

/// 64-bit XXH3 hash of the key. All daemons compute the same value.
std::uint64_t
hash_of(const flow_key& key);

}
