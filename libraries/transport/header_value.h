#pragma once

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace coltsfootlock {

/// Collects the value of one header from the parts that the parser reports. Names and values are cut at `max_bytes`.
/// The values of a header that occurs twice are joined with ", ", so that two numbers are not read as one.
class header_value
{
public:
  static constexpr std::size_t max_bytes = 64;

  header_value() = default;
  explicit header_value(std::string_view name)
    : name_(name)
  {
  }

  void add_name(std::string_view part)
  {
    if (in_value_) {
      current_.clear();
      in_value_ = false;
    }
    current_ += part.substr(0, max_bytes - current_.size());
  }

  void add_value(std::string_view part)
  {
    const bool begins = !in_value_;
    in_value_ = true;
    if (!is_wanted()) {
      return;
    }
    if (begins && !value_.empty()) {
      append(", ");
    }
    append(part);
  }

  /// Empty without the header.
  const std::string& value() const { return value_; }

private:
  void append(std::string_view part) { value_ += part.substr(0, max_bytes - value_.size()); }

  /// Names of headers are not case-sensitive.
  bool is_wanted() const
  {
    return !name_.empty() &&
           std::equal(current_.begin(), current_.end(), name_.begin(), name_.end(), [](char a, char b) {
             return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
           });
  }

  std::string name_;
  std::string current_;
  std::string value_;
  bool in_value_ = false;
};

}
