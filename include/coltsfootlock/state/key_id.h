#pragma once

#include "coltsfootlock/state/endpoint.h"

#include <compare>
#include <cstdint>
#include <string>

namespace coltsfootlock {

/// Identifies an idempotency key. Keys of different services are independent.
struct key_id
{
  endpoint service;
  std::string key;

  auto operator<=>(const key_id&) const = default;
};

/// A 64-bit XXH3 hash; the same on every daemon.
std::uint64_t
hash_of(const key_id& value);

}
