#pragma once

#include "coltsfootlock/transport/log.h"

#include <cstdint>
#include <exception>
#include <string>

namespace coltsfootlock {

/// Runs parts of the event loop so that an unexpected error in one of them, for example in the handling of a malformed
/// message, neither ends the process nor keeps the other parts from their work.
class exception_guard
{
public:
  /// Runs `work`. Returns false if it threw; the error is counted and logged.
  template<typename Work>
  bool run(const char* part, Work work)
  {
    try {
      work();
      return true;
    } catch (const std::exception& problem) {
      ++errors_;
      write_log(log_level::error, part, std::string("unexpected error reason=\"") + problem.what() + "\"");
      return false;
    }
  }

  std::uint64_t errors() const { return errors_; }

private:
  std::uint64_t errors_ = 0;
};

}
