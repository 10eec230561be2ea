#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace review {

/// An IPv4 address and port, both in host byte order.
struct endpoint
{
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

std::string
to_string(const endpoint& value);

namespace flag {
inline constexpr std::uint8_t reset = 2;
inline constexpr std::uint8_t open = 8;
inline constexpr std::uint8_t close = 16;
inline constexpr std::uint8_t acknowledge = 128;
}

/// A packet of PROTOCOL.md, "Packets". The keyed sum is opaque to the system, so it is any number here.
struct packet
{
  endpoint source;
  endpoint destination;
  std::uint32_t echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t sum = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::string data;

  auto operator<=>(const packet&) const = default;
};

std::string
encode(const packet& value);

/// Empty if the bytes are not a packet.
std::optional<packet>
decode(std::string_view bytes);

}
