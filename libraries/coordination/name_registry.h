#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coltsfootlock {

/// Maps names to numbers, so that packets are routed without string comparisons. A name keeps its number; 0 means
/// no name.
class name_registry
{
public:
  static constexpr std::uint32_t none = 0;

  name_registry() { names_.emplace_back(); }

  std::uint32_t intern(std::string_view name);

  /// `none` if the name was never interned.
  std::uint32_t find(std::string_view name) const;

  const std::string& name(std::uint32_t number) const { return names_[number]; }
  std::size_t size() const { return names_.size(); }

private:
  std::deque<std::string> names_; ///< A deque because the keys below refer to its elements, which must not move.
  std::unordered_map<std::string_view, std::uint32_t> numbers_;
};

}
