#include "settings_file.h"

#include <fstream>
#include <iterator>

namespace coltsfootlock {

namespace {

std::string_view
trim(std::string_view text)
{
  constexpr std::string_view blanks = " \t\r";
  const std::size_t begin = text.find_first_not_of(blanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

}

std::optional<std::map<std::string, std::string>>
parse_settings_file(std::string_view text, error& why)
{
  std::map<std::string, std::string> result;
  std::size_t number = 0;
  while (!text.empty()) {
    ++number;
    const std::size_t end = text.find('\n');
    const std::string_view line = trim(text.substr(0, end));
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const std::size_t separator = line.find('=');
    const std::string flag(trim(line.substr(0, separator)));
    if (separator == std::string_view::npos || flag.empty()) {
      why = { error_kind::syntax, "line " + std::to_string(number) + " of the settings must be \"flag = value\"" };
      return std::nullopt;
    }
    const std::string value(trim(line.substr(separator + 1)));
    if (value.empty()) {
      continue;
    }
    if (!result.emplace(flag, value).second) {
      why = { error_kind::duplicate_name,
              "line " + std::to_string(number) + " of the settings gives " + flag + " again; keep one of the lines" };
      return std::nullopt;
    }
  }
  return result;
}

std::optional<std::map<std::string, std::string>>
read_settings_file(const std::string& path, std::string& text, error& why)
{
  std::ifstream file(path, std::ios::binary);
  text.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  if (!file) {
    why = { error_kind::unavailable, "--config \"" + path + "\": the file cannot be read; give a readable file" };
    return std::nullopt;
  }
  auto result = parse_settings_file(text, why);
  if (!result) {
    why.message = "--config \"" + path + "\": " + why.message;
  }
  return result;
}

}
