#include "coltsfootlock/state/endpoint.h"

#include <array>
#include <charconv>

namespace coltsfootlock {

std::string
to_string(const endpoint& value)
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((value.address >> shift) & 0xffU);
    text += shift > 0 ? '.' : ':';
  }
  return text + std::to_string(value.port);
}

namespace {

// Takes a decimal number of at most `limit` from the front of the text.
std::optional<std::uint32_t>
take_number(std::string_view& text, std::uint32_t limit)
{
  std::uint32_t number = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (failure != std::errc{} || number > limit) {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return number;
}

}

std::optional<endpoint>
parse_endpoint(std::string_view text)
{
  endpoint result;
  for (const char separator : std::array{ '.', '.', '.', ':' }) {
    const auto octet = take_number(text, 255);
    if (!octet || text.empty() || text.front() != separator) {
      return std::nullopt;
    }
    text.remove_prefix(1);
    result.address = (result.address << 8U) | *octet;
  }
  const auto port = take_number(text, 65535);
  if (!port || *port == 0 || !text.empty()) {
    return std::nullopt;
  }
  result.port = static_cast<std::uint16_t>(*port);
  return result;
}

}
