#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Writes what was sent, answered and run, one line each, with the time since the start.
class record_file
{
public:
  explicit record_file(const std::string& path)
    : file_(path)
  {
  }

  void line(const std::string& text)
  {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> passed = now - start_;
    file_ << std::to_string(passed.count()) << " " << text << "\n";
    file_.flush();
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

}
