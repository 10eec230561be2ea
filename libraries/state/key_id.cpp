#include "coltsfootlock/state/key_id.h"

#include <xxhash.h>

namespace coltsfootlock {

std::uint64_t
hash_of(const key_id& value)
{
  const std::uint64_t seed = (static_cast<std::uint64_t>(value.service.address) << 16U) | value.service.port;
  return XXH3_64bits_withSeed(value.key.data(), value.key.size(), seed);
}

}
