#include "figure.h"

#include <cstdio>

namespace coltsfootlock::benchmark {

namespace {

std::string
number(double value)
{
  char text[40];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

}

bool
print(const figure& value)
{
  std::string line = "figure " + value.name + " = " + number(value.value) + " " + value.unit;
  if (value.baseline) {
    line += "; baseline (" + value.baseline_name + ") = " + number(*value.baseline);
  }
  bool met = true;
  if (value.at_most) {
    met = value.value <= *value.at_most;
    line += "; goal <= " + number(*value.at_most);
  }
  if (value.at_least) {
    met = value.value >= *value.at_least;
    line += "; goal >= " + number(*value.at_least);
  }
  if (value.at_most || value.at_least) {
    line += met ? "; met" : "; MISSED";
  }
  std::puts(line.c_str());
  std::fflush(stdout);
  return met;
}

}
