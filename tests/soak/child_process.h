#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace coltsfootlock::soak {

/// A process that the soak starts, signals and ends, by its id. Its output goes to a file.
class child_process
{
public:
  child_process(std::vector<std::string> command, std::string output);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void start();
  void signal(int number);

  /// Exit status as of waitpid() if the process has ended since the last call.
  std::optional<int> take_end();

  bool running() const { return id_ > 0; }

private:
  std::vector<std::string> command_;
  std::string output_;
  pid_t id_ = 0;
};

}
