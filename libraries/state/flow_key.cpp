#include "coltsfootlock/state/flow_key.h"

#include <array>

#include <xxhash.h>

namespace coltsfootlock {

std::uint64_t
hash_of(const flow_key& key)
{
  const std::array<std::uint32_t, 4> words{
    key.caller.address, key.caller.port, key.service.address, key.service.port
  };
  return XXH3_64bits(words.data(), sizeof(words));
}

}
