#pragma once

#include "coltsfootlock/state/flow_key.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace coltsfootlock {

/// Identifies a request; the same for all of its attempts.
struct request_identity
{
  flow_key flow;
  std::uint64_t request_id = 0;

  auto operator<=>(const request_identity&) const = default;
};

/// Gives the same value on every daemon.
inline std::uint64_t
hash_of(const request_identity& value)
{
  // The multiplier is 2^64 divided by the golden ratio; it spreads consecutive request ids over all bits.
  std::uint64_t mixed = hash_of(value.flow) ^ ((value.request_id + 1) * 0x9e3779b97f4a7c15U);
  mixed ^= mixed >> 32U;
  return mixed * 0x9e3779b97f4a7c15U;
}

struct request_identity_hash
{
  std::size_t operator()(const request_identity& value) const { return hash_of(value); }
};

}
