#pragma once

#include "coltsfootlock/state/error.h"

#include <cstddef>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace coltsfootlock {

/// Reads and checks the elements of one JSON array in their order, for records too many to carry the names of their
/// fields. The first failure is kept with its position; later reads then return default values.
class json_row
{
public:
  /// `names`: an array of texts to which elements refer by position.
  json_row(const nlohmann::json& row, const nlohmann::json& names, error& why);

  std::uint64_t number(std::uint64_t least, std::uint64_t most);
  std::string text(std::size_t limit);

  /// The text that the next element names by its position.
  std::string named(std::size_t limit);

  /// The same for a number in decimal digits.
  std::uint32_t named_number();
  bool flag();

  /// True if all elements have been read, or a read has failed.
  bool at_end() const { return position_ >= row_.size() || why_.kind != error_kind::none; }

private:
  const nlohmann::json* next();
  void fail(error_kind kind, const char* problem);

  const nlohmann::json& row_;
  const nlohmann::json& names_;
  error& why_;
  std::size_t position_ = 0;
};

}
