#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootlock {

/// An IPv4 address and port, both in host byte order.
struct endpoint
{
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// Formats as "127.0.0.1:4000".
std::string
to_string(const endpoint& value);

/// Parses "127.0.0.1:4000"; empty unless the whole text is an IPv4 address and a port from 1 to 65535.
std::optional<endpoint>
parse_endpoint(std::string_view text);

}
