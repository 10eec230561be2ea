#pragma once

#include <string>
#include <vector>

namespace coltsfootlock::soak {

/// Violations of promises, as callers and targets saw them.
class promise_log
{
public:
  void check(bool holds, const std::string& promise, const std::string& detail)
  {
    if (!holds) {
      violations_.push_back(promise + ": " + detail);
    }
  }

  const std::vector<std::string>& violations() const { return violations_; }

private:
  std::vector<std::string> violations_;
};

}
