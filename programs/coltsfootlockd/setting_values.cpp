#include "setting_values.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>

namespace coltsfootlock {

namespace {

constexpr std::size_t max_name_length = 48;
constexpr std::size_t max_seeds = 16;
constexpr const char* name_characters = "abcdefghijklmnopqrstuvwxyz0123456789-";

std::optional<std::string>
required(const value_map& values, const std::string& flag, error& why)
{
  const auto found = values.find(flag);
  if (found == values.end()) {
    why = { error_kind::missing_field, "--" + flag + " is required; see coltsfootlockd --help" };
    return std::nullopt;
  }
  return found->second;
}

/// Parses a finite number without a sign: 6, 6.5 or 65e-1.
std::optional<double>
parse_number(std::string_view text)
{
  if (text.empty() || text.front() < '0' || text.front() > '9') {
    return std::nullopt; // from_chars() accepts a minus sign, "inf" and "nan" as well.
  }
  double value = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (status != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/// The shortest decimal text without an exponent.
std::string
to_text(double value)
{
  std::array<char, 512> buffer{}; // The largest double has 309 digits.
  const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed);
  return { buffer.data(), written.ptr };
}

}

error
invalid_value(const std::string& flag, const std::string& value, const std::string& remedy)
{
  return { error_kind::out_of_range, "--" + flag + " \"" + value + "\": " + remedy };
}

bool
read_name(const value_map& values, const std::string& flag, std::string& result, error& why)
{
  const auto text = required(values, flag, why);
  if (!text) {
    return false;
  }
  if (text->empty() || text->size() > max_name_length ||
      text->find_first_not_of(name_characters) != std::string::npos) {
    why = invalid_value(flag, *text, "give 1 to 48 lower-case letters, digits or '-', as in the VM list");
    return false;
  }
  result = *text;
  return true;
}

bool
read_address(const value_map& values, const std::string& flag, endpoint& result, error& why)
{
  const auto text = required(values, flag, why);
  if (!text) {
    return false;
  }
  const auto address = parse_endpoint(*text);
  if (!address) {
    why = invalid_value(flag, *text, "give an IPv4 address and a port, for example 10.0.0.7:4000");
    return false;
  }
  result = *address;
  return true;
}

bool
read_optional_address(const value_map& values, const std::string& flag, std::optional<endpoint>& result, error& why)
{
  if (values.count(flag) == 0) {
    return true;
  }
  endpoint address;
  if (!read_address(values, flag, address, why)) {
    return false;
  }
  result = address;
  return true;
}

bool
read_seeds(const value_map& values, std::vector<endpoint>& result, error& why)
{
  const auto found = values.find("seeds");
  if (found == values.end() || found->second.empty()) {
    return true;
  }
  std::size_t start = 0;
  while (start <= found->second.size()) {
    const std::size_t end = std::min(found->second.find(',', start), found->second.size());
    const auto address = parse_endpoint(std::string_view(found->second).substr(start, end - start));
    if (!address || result.size() == max_seeds) {
      why = invalid_value("seeds", found->second, "give up to 16 addresses such as 10.0.0.7:4000, separated by commas");
      return false;
    }
    result.push_back(*address);
    start = end + 1;
  }
  return true;
}

bool
read_level(const value_map& values, log_level& result, error& why)
{
  const auto found = values.find("log-level");
  if (found == values.end()) {
    return true;
  }
  const auto level = parse_log_level(found->second);
  if (!level) {
    why = invalid_value("log-level", found->second, "give debug, info, warning or error");
    return false;
  }
  result = *level;
  return true;
}

bool
read_number(const value_map& values,
            const std::string& flag,
            const std::string& unit,
            double min_value,
            double max_value,
            double& result,
            error& why)
{
  const auto found = values.find(flag);
  if (found == values.end()) {
    return true;
  }
  const auto value = parse_number(found->second);
  if (!value || *value < min_value || *value > max_value) {
    why = invalid_value(
      flag, found->second, "give a number of " + unit + " from " + to_text(min_value) + " to " + to_text(max_value));
    return false;
  }
  result = *value;
  return true;
}

bool
read_clamped_number(const value_map& values,
                    const std::string& flag,
                    const std::string& unit,
                    double min_value,
                    double max_value,
                    double& result,
                    error& why)
{
  const auto found = values.find(flag);
  if (found == values.end()) {
    return true;
  }
  const auto value = parse_number(found->second);
  const bool zero_allowed = min_value == 0;
  if (!value || (*value == 0 && !zero_allowed)) {
    why = invalid_value(flag,
                        found->second,
                        "give a number of " + unit + (zero_allowed ? ", 0 or more" : " above 0") +
                          ", whole or with a fraction");
    return false;
  }
  result = std::clamp(*value, min_value, max_value);
  return true;
}

bool
read_clamped_time(const value_map& values,
                  const std::string& flag,
                  const time_unit& unit,
                  milliseconds min_value,
                  milliseconds max_value,
                  milliseconds& result,
                  error& why)
{
  const auto in_units = [&unit](milliseconds time) {
    return static_cast<double>(time.count()) / static_cast<double>(unit.length.count());
  };
  double value = in_units(result);
  if (!read_clamped_number(values, flag, unit.symbol, in_units(min_value), in_units(max_value), value, why)) {
    return false;
  }
  result = milliseconds(std::llround(value * static_cast<double>(unit.length.count())));
  return true;
}

}
