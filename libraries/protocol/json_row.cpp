#include "json_row.h"

#include <charconv>
#include <limits>

namespace coltsfootlock {

json_row::json_row(const nlohmann::json& row, const nlohmann::json& names, error& why)
  : row_(row)
  , names_(names)
  , why_(why)
{
}

const nlohmann::json*
json_row::next()
{
  if (why_.kind != error_kind::none) {
    return nullptr;
  }
  if (position_ >= row_.size()) {
    fail(error_kind::missing_field, "is missing");
    return nullptr;
  }
  return &row_[position_++];
}

void
json_row::fail(error_kind kind, const char* problem)
{
  if (why_.kind == error_kind::none) {
    why_ = { kind, "element " + std::to_string(position_) + " of a row " + problem + "; update the daemon" };
  }
}

std::uint64_t
json_row::number(std::uint64_t least, std::uint64_t most)
{
  const nlohmann::json* element = next();
  if (element == nullptr) {
    return 0;
  }
  if (!element->is_number_unsigned()) {
    fail(error_kind::wrong_type, "must be a whole number");
    return 0;
  }
  const auto value = element->get<std::uint64_t>();
  if (value < least || value > most) {
    fail(error_kind::out_of_range, "is out of range");
    return 0;
  }
  return value;
}

std::string
json_row::text(std::size_t limit)
{
  const nlohmann::json* element = next();
  if (element == nullptr) {
    return {};
  }
  if (!element->is_string() || element->get_ref<const std::string&>().size() > limit) {
    fail(error_kind::wrong_type, "must be a text of the usual length");
    return {};
  }
  return element->get<std::string>();
}

std::string
json_row::named(std::size_t limit)
{
  const auto position = number(0, row_.max_size());
  if (why_.kind != error_kind::none) {
    return {};
  }
  if (position >= names_.size() || !names_[position].is_string() ||
      names_[position].get_ref<const std::string&>().size() > limit) {
    fail(error_kind::out_of_range, "names no text");
    return {};
  }
  return names_[position].get<std::string>();
}

std::uint32_t
json_row::named_number()
{
  constexpr std::size_t max_digits = std::numeric_limits<std::uint32_t>::digits10 + 1;
  const std::string digits = named(max_digits);
  std::uint32_t value = 0;
  const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (status != std::errc() || end != digits.data() + digits.size()) {
    fail(error_kind::wrong_type, "names no number");
    return 0;
  }
  return value;
}

bool
json_row::flag()
{
  const nlohmann::json* element = next();
  if (element == nullptr) {
    return false;
  }
  if (!element->is_boolean()) {
    fail(error_kind::wrong_type, "must be true or false");
    return false;
  }
  return element->get<bool>();
}

}
