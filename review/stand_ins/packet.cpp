#include "packet.h"

#include <cstddef>

namespace review {

namespace {

constexpr std::size_t head_bytes = 31;

template<typename Number>
void
append(std::string& bytes, Number value)
{
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    bytes += static_cast<char>(static_cast<std::uint8_t>(value >> (8 * index)));
  }
}

template<typename Number>
Number
take(std::string_view& bytes)
{
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    value |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[index])) << (8 * index);
  }
  bytes.remove_prefix(sizeof(Number));
  return static_cast<Number>(value);
}

}

std::string
to_string(const endpoint& value)
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((value.address >> static_cast<unsigned>(shift)) & 0xffU) + (shift > 0 ? "." : ":");
  }
  return text + std::to_string(value.port);
}

std::string
encode(const packet& value)
{
  std::string bytes;
  append(bytes, value.source.port);
  append(bytes, value.source.address);
  append(bytes, value.destination.port);
  append(bytes, value.destination.address);
  append(bytes, value.echo);
  append(bytes, static_cast<std::uint16_t>(value.data.size()));
  append(bytes, value.flags);
  append(bytes, value.sum);
  append(bytes, value.sequence);
  append(bytes, value.acknowledged);
  return bytes + value.data;
}

std::optional<packet>
decode(std::string_view bytes)
{
  if (bytes.size() < head_bytes) {
    return std::nullopt;
  }
  packet result;
  result.source.port = take<std::uint16_t>(bytes);
  result.source.address = take<std::uint32_t>(bytes);
  result.destination.port = take<std::uint16_t>(bytes);
  result.destination.address = take<std::uint32_t>(bytes);
  result.echo = take<std::uint32_t>(bytes);
  const auto length = take<std::uint16_t>(bytes);
  result.flags = take<std::uint8_t>(bytes);
  result.sum = take<std::uint32_t>(bytes);
  result.sequence = take<std::uint32_t>(bytes);
  result.acknowledged = take<std::uint32_t>(bytes);
  if (bytes.size() != length) {
    return std::nullopt;
  }
  result.data = std::string(bytes);
  return result;
}

}
