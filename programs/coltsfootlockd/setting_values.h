#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/transport/log_level.h"

#include <cstdint>
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

/// Reads a whole number from `min_value` to `max_value`. Leaves `result`, which holds the default, unchanged if the
/// value is not given.
bool
read_whole_number(const value_map& values,
                  const std::string& flag,
                  const std::string& unit,
                  std::uint64_t min_value,
                  std::uint64_t max_value,
                  std::uint64_t& result,
                  error& why);

/// The same for a number with an optional fraction.
bool
read_number(const value_map& values,
            const std::string& flag,
            const std::string& unit,
            double min_value,
            double max_value,
            double& result,
            error& why);

}
