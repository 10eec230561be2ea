#pragma once

#include <string>
#include <string_view>

namespace coltsfootlock {

/// Collects the value of one header from the parts that the parser reports.
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
    if (current_.size() + part.size() <= max_bytes) {
      current_ += part;
    }
  }

  void add_value(std::string_view part)
  {
    in_value_ = true;
    if (current_ == name_ && value_.size() + part.size() <= max_bytes) {
      value_ += part;
    }
  }

  /// Empty without the header.
  const std::string& value() const { return value_; }

private:
  std::string name_;
  std::string current_;
  std::string value_;
  bool in_value_ = false;
};

}
