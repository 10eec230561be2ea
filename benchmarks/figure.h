#pragma once

#include <optional>
#include <string>

namespace coltsfootlock::benchmark {

/// One measured figure, with a baseline from the same run and the goal where there is one.
struct figure
{
  std::string name;
  double value = 0;
  std::string unit;
  std::optional<double> baseline;
  std::string baseline_name;
  std::optional<double> at_most;  ///< The goal is an upper bound.
  std::optional<double> at_least; ///< The goal is a lower bound.
};

/// Prints the figure on one line; false if it misses its goal.
bool
print(const figure& value);

}
