#include "name_registry.h"

namespace coltsfootlock {

std::uint32_t
name_registry::intern(std::string_view name)
{
  if (name.empty()) {
    return none;
  }
  const auto found = numbers_.find(name);
  if (found != numbers_.end()) {
    return found->second;
  }
  const auto number = static_cast<std::uint32_t>(names_.size());
  numbers_.emplace(names_.emplace_back(name), number);
  return number;
}

std::uint32_t
name_registry::find(std::string_view name) const
{
  const auto found = numbers_.find(name);
  return found == numbers_.end() ? none : found->second;
}

}
