#include "coltsfootlock/protocol/datagram_seal.h"

#include <sodium.h>

namespace coltsfootlock {

std::optional<fleet_key>
parse_fleet_key(std::string_view text, error& why)
{
  fleet_key key{};
  std::size_t length = 0;
  const char* end = nullptr;
  const int status = sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &length, &end);
  if (status != 0 || length != key.size() || end != text.data() + text.size()) {
    why = { error_kind::syntax, "the fleet key is not 64 hexadecimal digits; create one with: openssl rand -hex 32" };
    return std::nullopt;
  }
  return key;
}

}
