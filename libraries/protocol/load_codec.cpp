#include "coltsfootlock/protocol/load_codec.h"

#include "bounded_json.h"
#include "coltsfootlock/protocol/json_fields.h"
#include "json_row.h"
#include "load_field.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <string>
#include <utility>

namespace coltsfootlock {

namespace {

using nlohmann::json;

constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t max_domain_bytes = 1024;
constexpr std::size_t max_nesting = 16;
constexpr std::uint64_t max_number = std::numeric_limits<std::int64_t>::max();

/// Names of a deployment differ in their last characters, so that the bytes which a name has in common with the
/// previous one are not repeated.
json
encode_rows(std::vector<target_load> rows)
{
  std::sort(rows.begin(), rows.end());
  json result = json::array();
  std::string_view previous;
  for (const target_load& row : rows) {
    const auto differs = std::mismatch(previous.begin(), previous.end(), row.target.begin(), row.target.end());
    const auto shared = static_cast<std::size_t>(differs.first - previous.begin());
    result.push_back({ shared, row.target.substr(shared), row.answers, row.answer_ms });
    previous = row.target;
  }
  return result;
}

/// Checks a row and appends it; false with the reason in `why` if its values contradict each other.
bool
append_row(std::vector<target_load>& rows, target_load row, error& why)
{
  const auto max_ms = static_cast<std::uint64_t>(load_limits::max_answer_time.count()) * row.answers;
  if (row.target.empty() || row.answers == 0 || row.answers > load_limits::max_answers || row.answer_ms > max_ms) {
    why = { error_kind::out_of_range,
            "a load row must name a target and have 1 to " + std::to_string(load_limits::max_answers) +
              " answers of at most " + std::to_string(load_limits::max_answer_time.count()) +
              " ms each; update the daemon that sent it" };
    return false;
  }
  rows.push_back(std::move(row));
  return true;
}

error
too_many_rows()
{
  return { error_kind::too_large,
           "a load list must have at most " + std::to_string(load_limits::max_rows) +
             " rows; update the daemon that sent it" };
}

std::vector<target_load>
decode_rows(const json& content, const char* name, error& why)
{
  std::vector<target_load> result;
  const auto list = content.find(name);
  if (list == content.end() || !list->is_array()) {
    why = { error_kind::wrong_type,
            std::string(name) + " must be a list of load rows; update the daemon that sent it" };
    return result;
  }
  if (list->size() > load_limits::max_rows) {
    why = too_many_rows();
    return result;
  }
  const json no_names = json::array();
  std::string previous;
  for (const json& element : *list) {
    if (!element.is_array()) {
      why = { error_kind::wrong_type, "a load row must be a list; update the daemon that sent it" };
      return {};
    }
    json_row fields(element, no_names, why);
    const auto shared = static_cast<std::size_t>(fields.number(0, previous.size()));
    target_load row;
    row.target = previous.substr(0, shared) + fields.text(max_id_bytes - shared);
    row.answers = static_cast<std::uint32_t>(fields.number(0, load_limits::max_answers));
    row.answer_ms = fields.number(0, max_number);
    previous = row.target;
    if (why.kind != error_kind::none || !append_row(result, std::move(row), why)) {
      return {};
    }
  }
  return result;
}

std::string
to_bytes(const json& content)
{
  std::string bytes;
  json::to_msgpack(content, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

/// The map in `bytes`; null with the reason in `why` if they are malformed.
json
from_bytes(std::string_view bytes, error& why)
{
  json content;
  bounded_json_builder builder(content, max_nesting);
  if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::msgpack, true) ||
      !content.is_object()) {
    why = { error_kind::syntax, "loads must be a MessagePack map; update the daemon that sent them" };
    return nullptr;
  }
  return content;
}

/// Removes the part of `text` up to `separator` and returns it.
std::string_view
take_part(std::string_view& text, char separator)
{
  const std::size_t end = std::min(text.find(separator), text.size());
  const std::string_view part = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return part;
}

template<typename Number>
bool
read_number(std::string_view text, Number& value)
{
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
  return !text.empty() && status == std::errc() && end == text.data() + text.size();
}

}

std::string
encode_loads(const load_totals& totals)
{
  return to_bytes(
    { { "domain", totals.domain }, { "own", encode_rows(totals.own) }, { "foreign", encode_rows(totals.foreign) } });
}

std::optional<load_totals>
decode_loads(std::string_view bytes, error& why)
{
  const json content = from_bytes(bytes, why);
  if (why.kind != error_kind::none) {
    return std::nullopt;
  }
  load_totals result;
  json_fields fields(content, "loads", why);
  result.domain = fields.text("domain", max_domain_bytes);
  if (fields.ok()) {
    result.own = decode_rows(content, "own", why);
  }
  if (fields.ok()) {
    result.foreign = decode_rows(content, "foreign", why);
  }
  return fields.ok() ? std::optional(std::move(result)) : std::nullopt;
}

json
encode_load_field(const encoded_loads& loads)
{
  return { { "number", loads.number },
           { "age_ms", loads.age.count() },
           { "rows", json::binary({ loads.rows.begin(), loads.rows.end() }) } };
}

std::optional<load_totals>
decode_load_field(const json& response, error& why)
{
  const auto field = response.find("load");
  if (field == response.end()) {
    return std::nullopt;
  }
  const auto rows = field->is_object() ? field->find("rows") : field->end();
  if (!field->is_object() || rows == field->end() || !rows->is_binary()) {
    why = { error_kind::wrong_type, "load must be a map with the bytes rows; update the daemon that sent it" };
    return std::nullopt;
  }
  const auto& inner = rows->get_binary();
  auto result = decode_loads({ reinterpret_cast<const char*>(inner.data()), inner.size() }, why);
  if (!result) {
    return std::nullopt;
  }
  json_fields fields(*field, "load", why);
  result->number = fields.number("number", 0, max_number);
  result->age = milliseconds(static_cast<milliseconds::rep>(fields.number("age_ms", 0, max_number)));
  return fields.ok() ? result : std::nullopt;
}

std::string
encode_load_answer(const encoded_loads& loads)
{
  return to_bytes({ { "load", encode_load_field(loads) } });
}

std::optional<load_totals>
decode_load_answer(std::string_view bytes, error& why)
{
  const json content = from_bytes(bytes, why);
  if (why.kind != error_kind::none) {
    return std::nullopt;
  }
  auto result = decode_load_field(content, why);
  if (!result && why.kind == error_kind::none) {
    why = { error_kind::missing_field, "load is missing; update the daemon that sent the answer" };
  }
  return result;
}

std::string
load_rows_text(const std::vector<target_load>& rows, std::size_t max_bytes)
{
  std::string result;
  for (const target_load& row : rows) {
    const std::string text = row.target + ":" + std::to_string(row.answers) + ":" + std::to_string(row.answer_ms) + ",";
    if (result.size() + text.size() > max_bytes) {
      break;
    }
    result += text;
  }
  return result;
}

std::optional<std::vector<target_load>>
read_load_rows(std::string_view text, error& why)
{
  std::vector<target_load> result;
  while (!text.empty()) {
    if (result.size() == load_limits::max_rows) {
      why = too_many_rows();
      return std::nullopt;
    }
    std::string_view item = take_part(text, ',');
    target_load row;
    row.target = std::string(take_part(item, ':'));
    const std::string_view answers = take_part(item, ':');
    if (row.target.size() > max_id_bytes || !read_number(answers, row.answers) || !read_number(item, row.answer_ms)) {
      why = { error_kind::syntax,
              "rows must be a list of TARGET:ANSWERS:MS with whole numbers; update the daemon that sent it" };
      return std::nullopt;
    }
    if (!append_row(result, std::move(row), why)) {
      return std::nullopt;
    }
  }
  return result;
}

}
