#include "parsed_flags.h"

#include <tclap/CmdLine.h>

#include <memory>

namespace coltsfootlock {

namespace {

/// Must differ from the name of each flag: TCLAP treats an argument with the same description as another as a duplicate
/// and throws.
constexpr const char* positional_description = "positional arguments";

}

std::optional<parsed_flags>
parsed_flags::parse(std::vector<std::string> arguments,
                    const std::vector<flag_definition>& definitions,
                    bool accepts_positional,
                    error& why)
{
  parsed_flags result;
  try {
    TCLAP::CmdLine command("", ' ', "", false);
    command.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> values;
    std::vector<std::unique_ptr<TCLAP::SwitchArg>> switches;
    for (const flag_definition& flag : definitions) {
      if (flag.unit.empty()) {
        switches.push_back(std::make_unique<TCLAP::SwitchArg>("", flag.name, flag.name, command));
      } else {
        values.push_back(
          std::make_unique<TCLAP::ValueArg<std::string>>("", flag.name, flag.name, false, "", flag.unit, command));
      }
    }
    std::optional<TCLAP::UnlabeledMultiArg<std::string>> positional;
    if (accepts_positional) {
      positional.emplace("arguments", positional_description, false, "ARGUMENT", command);
    }
    command.parse(arguments);
    for (const auto& flag : values) {
      if (flag->isSet()) {
        result.values[flag->getName()] = flag->getValue();
      }
    }
    for (const auto& flag : switches) {
      if (flag->isSet()) {
        result.switches.insert(flag->getName());
      }
    }
    if (positional) {
      result.positional = positional->getValue();
    }
  } catch (const TCLAP::ArgException& failure) {
    why = { error_kind::syntax, failure.error() + " (" + failure.argId() + ")" };
    return std::nullopt;
  }
  return result;
}

}
