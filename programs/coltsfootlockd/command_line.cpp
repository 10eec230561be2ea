#include "command_line.h"

#include "parsed_flags.h"
#include "setting_definition.h"
#include "settings_file.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

void
apply_environment(const std::map<std::string, std::string>& environment,
                  const std::vector<setting_definition>& definitions,
                  std::map<std::string, std::string>& values)
{
  for (const setting_definition& definition : definitions) {
    const auto found = environment.find(definition.variable());
    if (found != environment.end() && !found->second.empty()) {
      values[definition.flag] = found->second;
    }
  }
}

void
append_help(const setting_definition& definition, const std::string& flag, std::string& text)
{
  text += "  " + flag + "\n      " + definition.description + ".\n      Environment: " + definition.variable() +
          ". Range: " + definition.range + ".";
  if (!definition.default_value.empty()) {
    text += " Default: " + definition.default_value + ".";
  }
  text += "\n";
}

}

std::optional<command_line>
command_line::parse(const std::vector<std::string>& arguments,
                    const std::map<std::string, std::string>& environment,
                    error& why)
{
  std::vector<flag_definition> flags = { { "help", "" }, { "version", "" }, { "check-settings", "" } };
  for (const setting_definition& definition : setting_definitions()) {
    flags.push_back({ definition.flag, definition.unit });
  }
  const auto parsed = parsed_flags::parse(arguments, flags, false, why);
  if (!parsed) {
    why.message += "; see coltsfootlockd --help";
    return std::nullopt;
  }
  command_line result;
  apply_environment(environment, setting_definitions(), result.values);
  apply_environment(environment, secret_definitions(), result.values);
  for (const auto& [flag, value] : parsed->values) {
    result.values[flag] = value;
  }
  if (parsed->switches.count("check-settings") != 0) {
    result.requested = purpose::check_settings;
  }
  if (parsed->switches.count("version") != 0) {
    result.requested = purpose::version;
  }
  if (parsed->switches.count("help") != 0) {
    result.requested = purpose::help;
  }
  return result;
}

std::optional<std::map<std::string, std::string>>
effective_values(const std::map<std::string, std::string>& values, error& why)
{
  const auto path = values.find("config");
  if (path == values.end()) {
    return values;
  }
  std::string text;
  auto result = read_settings_file(path->second, text, why);
  if (!result) {
    return std::nullopt;
  }
  for (const auto& [flag, value] : *result) {
    const auto& definitions = setting_definitions();
    const auto has_flag = [&name = flag](const setting_definition& definition) { return definition.flag == name; };
    if (std::none_of(definitions.begin(), definitions.end(), has_flag)) {
      why = { error_kind::unknown_name,
              "--config \"" + path->second + "\": " + flag + " is not a setting; see coltsfootlockd --help" };
      return std::nullopt;
    }
  }
  for (const auto& [flag, value] : values) {
    (*result)[flag] = value;
  }
  return result;
}

std::string
help_text()
{
  std::string text = "Usage: coltsfootlockd [--FLAG VALUE]...\n\n"
                     "Layer-4 load balancer. Each flag can also be given as an environment variable; the flag takes\n"
                     "precedence. Exit codes: 0 after a graceful shutdown, 1 if the daemon cannot start, 2 for wrong\n"
                     "settings.\n\n"
                     "  --help\n      Prints this text.\n"
                     "  --version\n      Prints the version.\n"
                     "  --check-settings\n      Checks the settings and exits.\n";
  for (const setting_definition& definition : setting_definitions()) {
    append_help(definition, "--" + definition.flag + " " + definition.unit, text);
  }
  text += "\nOnly in the environment, because the arguments of a process are visible to all users:\n";
  for (const setting_definition& definition : secret_definitions()) {
    append_help(definition, definition.variable() + "=" + definition.unit, text);
  }
  return text;
}

}
