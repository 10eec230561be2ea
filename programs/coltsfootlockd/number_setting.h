#pragma once

#include "coltsfootlock/coordination/timing.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// A numeric setting that is stored in one field of `timing`.
struct number_setting
{
  std::string flag;
  std::string unit;
  std::uint64_t min_value = 0;
  std::uint64_t max_value = 0;
  std::string description;
  std::function<std::uint64_t(const timing&)> get;
  std::function<void(timing&, std::uint64_t)> set;
};

const std::vector<number_setting>&
number_settings();

}
