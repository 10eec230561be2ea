#include "child_process.h"

#include <csignal>
#include <utility>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace coltsfootlock::soak {

child_process::child_process(std::vector<std::string> command, std::string output)
  : command_(std::move(command))
  , output_(std::move(output))
{
}

child_process::~child_process()
{
  if (id_ > 0) {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
  }
}

void
child_process::start()
{
  std::vector<char*> arguments;
  for (std::string& argument : command_) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  id_ = ::fork();
  if (id_ == 0) {
    const int file = ::open(output_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
}

void
child_process::signal(int number)
{
  if (id_ > 0) {
    ::kill(id_, number);
  }
}

std::optional<int>
child_process::take_end()
{
  int status = 0;
  if (id_ <= 0 || ::waitpid(id_, &status, WNOHANG) != id_) {
    return std::nullopt;
  }
  id_ = 0;
  return status;
}

}
