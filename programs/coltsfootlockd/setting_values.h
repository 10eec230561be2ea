#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/transport/log_level.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Unvalidated values of settings by flag.
using value_map = std::map<std::string, std::string>;

/// An error that names the flag, its value and the remedy.
error
invalid_value(const std::string& flag, const std::string& value, const std::string& remedy);

/// Each returns false with the reason in `why` if the value is missing or wrong.
bool
read_name(const value_map& values, const std::string& flag, std::string& result, error& why);
bool
read_address(const value_map& values, const std::string& flag, endpoint& result, error& why);

/// Each leaves `result` unchanged if the value is not given, and returns false with the reason in `why` if it is wrong.
bool
read_optional_address(const value_map& values, const std::string& flag, std::optional<endpoint>& result, error& why);
bool
read_seeds(const value_map& values, std::vector<endpoint>& result, error& why);
bool
read_level(const value_map& values, log_level& result, error& why);

/// Reads a number from `min_value` to `max_value`, which may be whole, have a fraction or an exponent, but no sign.
/// Leaves `result`, which holds the default, unchanged if the value is not given.
bool
read_number(const value_map& values,
            const std::string& flag,
            const std::string& unit,
            double min_value,
            double max_value,
            double& result,
            error& why);

/// The same for a number that the platform chooses. One beyond the range that the daemon can use counts as the nearest
/// number in the range, because a daemon that refuses it would never start. Refuses 0 unless `min_value` is 0.
bool
read_clamped_number(const value_map& values,
                    const std::string& flag,
                    const std::string& unit,
                    double min_value,
                    double max_value,
                    double& result,
                    error& why);

/// The unit in which a time is given.
struct time_unit
{
  const char* symbol;
  milliseconds length;
};

inline constexpr time_unit unit_millisecond{ "ms", milliseconds(1) };
inline constexpr time_unit unit_second{ "s", milliseconds(1000) };

/// The same for a time, which is rounded to milliseconds.
bool
read_clamped_time(const value_map& values,
                  const std::string& flag,
                  const time_unit& unit,
                  milliseconds min_value,
                  milliseconds max_value,
                  milliseconds& result,
                  error& why);

}
