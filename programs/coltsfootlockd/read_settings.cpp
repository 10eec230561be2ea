#include "read_settings.h"

#include "number_setting.h"
#include "setting_values.h"

#include <cmath>
#include <fstream>
#include <iterator>

namespace coltsfootlock {

namespace {

bool
read_addresses(const value_map& values, settings& result, error& why)
{
  if (!read_address(values, "packet-address", result.packet_address, why) ||
      !read_address(values, "peer-address", result.peer_address, why) ||
      !read_address(values, "call-address", result.call_address, why) ||
      !read_address(values, "fabric", result.fabric, why) || !read_address(values, "platform", result.platform, why)) {
    return false;
  }
  return read_optional_address(values, "metrics-address", result.metrics_address, why);
}

std::optional<std::string>
read_key_file(const std::string& flag, const std::string& path, error& why)
{
  std::ifstream file(path);
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file) {
    why = invalid_value(flag, path, "the file cannot be read; give a file that the daemon's user may read");
    return std::nullopt;
  }
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

/// Adds the key of this name, if one is given. The text of a key never appears in an error.
bool
read_key(const value_map& values, const std::string& name, settings& result, error& why)
{
  const auto direct = values.find(name);
  const auto file = values.find(name + "-file");
  if (direct != values.end() && file != values.end()) {
    why = { error_kind::conflict, "both " + name + " and --" + name + "-file are given; keep one of them" };
    return false;
  }
  if (direct == values.end() && file == values.end()) {
    return true;
  }
  std::optional<std::string> text = direct != values.end() ? std::optional<std::string>(direct->second) : std::nullopt;
  if (!text) {
    text = read_key_file(name + "-file", file->second, why);
  }
  if (!text) {
    return false;
  }
  const auto key = parse_fleet_key(*text, why);
  if (!key) {
    why.message = name + ": " + why.message;
    return false;
  }
  result.keys.push_back(*key);
  return true;
}

bool
read_keys(const value_map& values, settings& result, error& why)
{
  if (!read_key(values, "fleet-key", result, why)) {
    return false;
  }
  if (result.keys.empty()) {
    why = { error_kind::missing_field, "the fleet key is required; set COLTSFOOTLOCK_FLEET_KEY or --fleet-key-file" };
    return false;
  }
  return read_key(values, "fleet-key-next", result, why);
}

/// A fraction is rounded to the unit of the setting.
bool
read_number_setting(const value_map& values, const number_setting& setting, timing& times, error& why)
{
  auto value = static_cast<double>(setting.get(times));
  const auto min_value = static_cast<double>(setting.min_value);
  const auto max_value = static_cast<double>(setting.max_value);
  if (!read_number(values, setting.flag, setting.unit, min_value, max_value, value, why)) {
    return false;
  }
  setting.set(times, static_cast<std::uint64_t>(std::llround(value)));
  return true;
}

bool
check_conflicts(const settings& value, error& why)
{
  const timing& times = value.times;
  const auto conflict = [&why](bool wrong, const std::string& remedy) {
    if (wrong) {
      why = { error_kind::conflict, remedy };
    }
    return wrong;
  };
  const auto milliseconds_of = [](milliseconds time) { return " (" + std::to_string(time.count()) + " ms)"; };
  return !conflict(value.packet_address == value.peer_address,
                   "--packet-address and --peer-address are both " + to_string(value.peer_address) +
                     "; give them different ports") &&
         !conflict(value.metrics_address == value.call_address,
                   "--metrics-address and --call-address are both " + to_string(value.call_address) +
                     "; give them different ports") &&
         !conflict(times.suspect_after <= times.heartbeat_interval,
                   "--suspect-after" + milliseconds_of(times.suspect_after) +
                     " must be longer than --heartbeat-interval" + milliseconds_of(times.heartbeat_interval)) &&
         !conflict(times.spend_authority_timeout <= times.heartbeat_interval,
                   "--spend-authority-timeout" + milliseconds_of(times.spend_authority_timeout) +
                     " must be longer than --heartbeat-interval" + milliseconds_of(times.heartbeat_interval)) &&
         !conflict(times.key_authority_timeout < times.spend_authority_timeout,
                   "--key-authority-timeout" + milliseconds_of(times.key_authority_timeout) +
                     " must not be shorter than --spend-authority-timeout" +
                     milliseconds_of(times.spend_authority_timeout)) &&
         !conflict(times.platform_timeout <= times.platform_wait,
                   "--platform-timeout" + milliseconds_of(times.platform_timeout) +
                     " must be longer than --platform-wait" + milliseconds_of(times.platform_wait)) &&
         !conflict(times.flow_idle <= times.learned_refresh,
                   "--flow-idle" + milliseconds_of(times.flow_idle) + " must be longer than --learned-refresh" +
                     milliseconds_of(times.learned_refresh));
}

}

std::optional<settings>
read_settings(const value_map& values, error& why)
{
  settings result;
  if (!read_name(values, "vm-id", result.self, why) || !read_name(values, "domain", result.domain, why) ||
      !read_addresses(values, result, why) || !read_seeds(values, result.seeds, why) ||
      !read_keys(values, result, why) || !read_level(values, result.min_log_level, why)) {
    return std::nullopt;
  }
  for (const number_setting& setting : number_settings()) {
    if (!read_number_setting(values, setting, result.times, why)) {
      return std::nullopt;
    }
  }
  if (!check_conflicts(result, why)) {
    return std::nullopt;
  }
  return result;
}

}
