#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace coltsfootlock {

/// Reads and checks the fields of one JSON object. The first failure is kept with the field's path; later reads then
/// return default values, and the caller checks ok() at the end.
class json_fields
{
public:
  /// `path` names the object in messages, for example "services[2]".
  json_fields(const nlohmann::json& object, std::string path, error& why);

  bool ok() const { return why_->kind == error_kind::none; }

  /// Refuses fields that are not in the list, so that a misspelt optional field is noticed.
  void allow_only(std::initializer_list<std::string_view> names);

  /// A name of lower-case letters, digits and hyphens, 1 to 48 bytes.
  std::string name(const char* field);
  std::string text(const char* field, std::size_t limit);
  std::uint64_t number(const char* field, std::uint64_t least, std::uint64_t most);
  std::uint32_t small_number(const char* field, std::uint32_t least, std::uint32_t most);
  std::uint32_t small_number_or(const char* field, std::uint32_t least, std::uint32_t most, std::uint32_t absent);
  bool flag(const char* field);
  endpoint address(const char* field);

  /// Calls `read` for each element of an array of objects.
  void each(const char* field, std::size_t limit, const std::function<void(json_fields&)>& read);
  void object(const char* field, const std::function<void(json_fields&)>& read);

  /// Records a failure of the named field unless there is one already.
  void fail(error_kind kind, std::string_view field, std::string_view problem);

  const std::string& path() const { return path_; }

private:
  const nlohmann::json* find(const char* field);
  std::string path_of(std::string_view field) const;

  const nlohmann::json& object_;
  std::string path_;
  error* why_;
};

/// Parses JSON text of at most `limit` bytes whose top level is an object.
nlohmann::json
parse_json_object(std::string_view text, std::size_t limit, error& why);

}
