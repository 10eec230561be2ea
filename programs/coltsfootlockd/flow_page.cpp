#include "flow_page.h"

#include "coltsfootlock/protocol/peer_codec.h"

#include <nlohmann/json.hpp>

#include <sodium.h>

#include <utility>
#include <variant>

namespace coltsfootlock {

namespace {

std::string
to_hexadecimal(const std::string& bytes)
{
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
  text.pop_back();
  return text;
}

std::optional<std::string>
from_hexadecimal(const std::string& text)
{
  std::string bytes(text.size() / 2, '\0');
  std::size_t length = 0;
  const char* end = nullptr;
  const int status = sodium_hex2bin(
    reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(), text.size(), nullptr, &length, &end);
  if (status != 0 || length != bytes.size() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return bytes;
}

}

std::string
flow_page::to_json() const
{
  const std::string content = encode_peer_message(route_hints{ records });
  return nlohmann::json{ { "next", next }, { "records", to_hexadecimal(content) } }.dump();
}

std::optional<flow_page>
flow_page::parse(const std::string& text, error& why)
{
  const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("next") || !value["next"].is_number_unsigned() ||
      !value.contains("records") || !value["records"].is_string()) {
    why = { error_kind::missing_field, "a page of flows must contain the number next and the string records" };
    return std::nullopt;
  }
  const auto content = from_hexadecimal(value["records"].get<std::string>());
  if (!content) {
    why = { error_kind::syntax, "the records of a page of flows are not hexadecimal" };
    return std::nullopt;
  }
  auto message = decode_peer_message(*content, why);
  if (!message) {
    return std::nullopt;
  }
  auto* hints = std::get_if<route_hints>(&*message);
  if (hints == nullptr) {
    why = { error_kind::wrong_type, "the records of a page of flows are another message" };
    return std::nullopt;
  }
  return flow_page{ value["next"].get<std::size_t>(), std::move(hints->records) };
}

}
