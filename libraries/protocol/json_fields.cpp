#include "coltsfootlock/protocol/json_fields.h"

#include "bounded_json.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

constexpr std::size_t max_name_length = 48;

/// Levels of arrays and objects in a record; several times what the largest one has.
constexpr std::size_t max_levels = 32;

/// Bytes of the parser's message that are kept. It quotes the input, which may be a text of a megabyte.
constexpr std::size_t max_problem_bytes = 240;

std::string
shorten(const std::string& problem)
{
  if (problem.size() <= max_problem_bytes) {
    return problem;
  }
  return problem.substr(0, max_problem_bytes) + " ...";
}

bool
is_name_character(char character)
{
  return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
}

}

json_fields::json_fields(const nlohmann::json& object, std::string path, error& why)
  : object_(object)
  , path_(std::move(path))
  , why_(&why)
{
  if (!object_.is_object()) {
    fail(error_kind::wrong_type, "", "must be an object");
  }
}

std::string
json_fields::path_of(std::string_view field) const
{
  if (field.empty()) {
    return path_.empty() ? "the record" : path_;
  }
  return path_.empty() ? std::string(field) : path_ + "." + std::string(field);
}

void
json_fields::fail(error_kind kind, std::string_view field, std::string_view problem)
{
  if (ok()) {
    *why_ = { kind, path_of(field) + " " + std::string(problem) };
  }
}

void
json_fields::allow_only(std::initializer_list<std::string_view> names)
{
  if (!object_.is_object()) {
    return;
  }
  for (const auto& [key, value] : object_.items()) {
    if (std::find(names.begin(), names.end(), key) == names.end()) {
      fail(error_kind::unknown_name, key, "is not a known field; remove it or correct its spelling");
    }
  }
}

const nlohmann::json*
json_fields::find(const char* field)
{
  if (!ok()) {
    return nullptr;
  }
  const auto found = object_.find(field);
  if (found == object_.end()) {
    fail(error_kind::missing_field, field, "is missing; add it");
    return nullptr;
  }
  return &*found;
}

std::string
json_fields::text(const char* field, std::size_t limit)
{
  const nlohmann::json* value = find(field);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    fail(error_kind::wrong_type, field, "must be a string");
    return {};
  }
  const auto& content = value->get_ref<const std::string&>();
  if (content.empty() || content.size() > limit) {
    fail(error_kind::out_of_range, field, "must have 1 to " + std::to_string(limit) + " bytes");
    return {};
  }
  return content;
}

std::string
json_fields::name(const char* field)
{
  std::string value = text(field, max_name_length);
  if (!std::all_of(value.begin(), value.end(), is_name_character)) {
    fail(error_kind::syntax, field, "may only have lower-case letters, digits and hyphens; rename it");
  }
  return value;
}

std::uint64_t
json_fields::number(const char* field, std::uint64_t least, std::uint64_t most)
{
  const nlohmann::json* value = find(field);
  if (value == nullptr) {
    return least;
  }
  if (!value->is_number_unsigned()) {
    fail(error_kind::wrong_type, field, "must be a whole number without a sign");
    return least;
  }
  const auto number = value->get<std::uint64_t>();
  if (number < least || number > most) {
    fail(error_kind::out_of_range,
         field,
         "is " + std::to_string(number) + "; choose a value from " + std::to_string(least) + " to " +
           std::to_string(most));
    return least;
  }
  return number;
}

std::uint32_t
json_fields::small_number(const char* field, std::uint32_t least, std::uint32_t most)
{
  return static_cast<std::uint32_t>(number(field, least, most));
}

std::uint32_t
json_fields::small_number_or(const char* field, std::uint32_t least, std::uint32_t most, std::uint32_t absent)
{
  if (!object_.is_object() || !object_.contains(field)) {
    return absent;
  }
  return small_number(field, least, most);
}

bool
json_fields::flag(const char* field)
{
  const nlohmann::json* value = find(field);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    fail(error_kind::wrong_type, field, "must be true or false");
    return false;
  }
  return value->get<bool>();
}

endpoint
json_fields::address(const char* field)
{
  const std::string content = text(field, 21); // The longest form, "255.255.255.255:65535".
  if (!ok()) {
    return {};
  }
  const auto value = parse_endpoint(content);
  if (!value || value->address == 0) {
    fail(error_kind::syntax, field, "is \"" + content + "\"; write an IPv4 address and port, such as 10.0.0.1:4000");
    return {};
  }
  return *value;
}

void
json_fields::each(const char* field, std::size_t limit, const std::function<void(json_fields&)>& read)
{
  const nlohmann::json* values = find(field);
  if (values == nullptr) {
    return;
  }
  if (!values->is_array()) {
    fail(error_kind::wrong_type, field, "must be an array");
    return;
  }
  if (values->size() > limit) {
    fail(error_kind::too_large, field, "has more than " + std::to_string(limit) + " elements");
    return;
  }
  for (std::size_t index = 0; index < values->size() && ok(); ++index) {
    json_fields element((*values)[index], path_of(field) + "[" + std::to_string(index) + "]", *why_);
    read(element);
  }
}

void
json_fields::object(const char* field, const std::function<void(json_fields&)>& read)
{
  const nlohmann::json* value = find(field);
  if (value == nullptr) {
    return;
  }
  json_fields inner(*value, path_of(field), *why_);
  read(inner);
}

nlohmann::json
parse_json_object(std::string_view text, std::size_t limit, error& why)
{
  why = {};
  if (text.size() > limit) {
    why = { error_kind::too_large,
            "the record has " + std::to_string(text.size()) + " bytes; at most " + std::to_string(limit) +
              " are accepted" };
    return {};
  }
  nlohmann::json value;
  bounded_json_builder builder(value, max_levels);
  if (!nlohmann::json::sax_parse(text.begin(), text.end(), &builder)) {
    why = { error_kind::syntax, "the record is not valid JSON: " + shorten(builder.problem()) };
    return {};
  }
  if (!value.is_object()) {
    why = { error_kind::wrong_type, "the record must be a JSON object" };
  }
  return value;
}

}
