#include "check_command.h"
#include "ctl_arguments.h"
#include "daemon_commands.h"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

using namespace coltsfootlock;

namespace {

exit_code
run(const ctl_arguments& arguments)
{
  switch (arguments.command) {
    case ctl_arguments::subcommand::help:
      std::cout << ctl_help_text();
      return exit_code::success;
    case ctl_arguments::subcommand::version:
      std::cout << "coltsfootlockctl " COLTSFOOTLOCK_VERSION "\n";
      return exit_code::success;
    case ctl_arguments::subcommand::check:
      return check_command(arguments, std::cout);
    case ctl_arguments::subcommand::status:
      return status_command(arguments, std::cout);
    case ctl_arguments::subcommand::explain:
      return explain_command(arguments, std::cout);
  }
  return exit_code::usage;
}

}

int
main(int argc, char** argv)
{
  // Writing to a connection that the daemon has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  error why;
  const auto arguments = ctl_arguments::parse(std::vector<std::string>(argv, argv + argc), why);
  if (!arguments) {
    std::cerr << "coltsfootlockctl: " << why.message << '\n';
    return static_cast<int>(exit_code::usage);
  }
  return static_cast<int>(run(*arguments));
}
