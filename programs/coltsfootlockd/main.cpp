#include "carried/carried_mode.h"
#include "command_line.h"
#include "exit_codes.h"
#include "recorded_mode.h"
#include "settings_file.h"

#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

using namespace coltsfootlock;

namespace {

std::map<std::string, std::string>
read_environment()
{
  std::map<std::string, std::string> result;
  for (char** variable = environ; variable != nullptr && *variable != nullptr; ++variable) {
    const std::string_view text(*variable);
    const std::size_t separator = text.find('=');
    if (separator != std::string_view::npos) {
      result.emplace(text.substr(0, separator), text.substr(separator + 1));
    }
  }
  return result;
}

}

int
main(int argc, char** argv)
{
  error why;
  const auto command = command_line::parse(std::vector<std::string>(argv, argv + argc), read_environment(), why);
  if (!command) {
    return fail(exit_invalid_settings, why);
  }
  if (command->requested == command_line::purpose::help) {
    std::cout << help_text();
    return 0;
  }
  if (command->requested == command_line::purpose::version) {
    std::cout << "coltsfootlockd " COLTSFOOTLOCK_VERSION "\n";
    return 0;
  }
  const bool only_check = command->requested == command_line::purpose::check_settings;
  const auto values = effective_values(command->values, why);
  if (!values) {
    return fail(exit_invalid_settings, why);
  }
  const auto routing = values->find("flow-routing");
  if (routing == values->end() || routing->second == "recorded") {
    return run_recorded_mode(*values, only_check);
  }
  if (routing->second != "carried") {
    return fail(exit_invalid_settings, invalid_value("flow-routing", routing->second, "give recorded or carried"));
  }
  return run_carried_mode(command->values, *values, only_check);
}
