#include "ctl_arguments.h"

#include "parsed_flags.h"

namespace coltsfootlock {

namespace {

error
usage_error(const std::string& message)
{
  return { error_kind::syntax, message + "; see coltsfootlockctl --help" };
}

bool
read_address(const std::string& name, const std::string& text, endpoint& result, error& why)
{
  const auto address = parse_endpoint(text);
  if (!address) {
    why = usage_error(name + " \"" + text + "\" is not an IPv4 address and port such as 10.0.0.7:4100");
    return false;
  }
  result = *address;
  return true;
}

bool
read_daemons(const std::vector<std::string>& texts, ctl_arguments& result, error& why)
{
  for (const std::string& text : texts) {
    endpoint address;
    if (!read_address("ADDRESS", text, address, why)) {
      return false;
    }
    result.daemons.push_back(address);
  }
  return true;
}

std::vector<flag_definition>
flags_of(ctl_arguments::subcommand command)
{
  std::vector<flag_definition> flags = { { "json", "" } };
  if (command == ctl_arguments::subcommand::check) {
    flags.insert(flags.end(), { { "vms", "FILE" }, { "in-force", "FILE" }, { "record", "KEY" } });
  }
  if (command == ctl_arguments::subcommand::explain) {
    flags.insert(flags.end(), { { "caller", "IP:port" }, { "service", "IP:port" }, { "key", "KEY" } });
  }
  return flags;
}

std::optional<std::string>
value_of(const parsed_flags& flags, const std::string& name)
{
  const auto found = flags.values.find(name);
  return found == flags.values.end() ? std::nullopt : std::optional<std::string>(found->second);
}

bool
read_check(const parsed_flags& flags, ctl_arguments& result, error& why)
{
  if (flags.positional.size() != 1) {
    why = usage_error("check requires exactly one FILE");
    return false;
  }
  result.file = flags.positional.front();
  result.vms = value_of(flags, "vms");
  result.in_force = value_of(flags, "in-force");
  result.record = value_of(flags, "record");
  return true;
}

bool
read_explain(parsed_flags& flags, ctl_arguments& result, error& why)
{
  if (flags.positional.size() != 1) {
    why = usage_error("explain requires exactly one ADDRESS");
    return false;
  }
  result.key = flags.values["key"];
  return read_address("--caller", flags.values["caller"], result.caller, why) &&
         read_address("--service", flags.values["service"], result.service, why);
}

/// Parses the arguments after the subcommand.
bool
read_subcommand(const std::vector<std::string>& arguments, ctl_arguments& result, error& why)
{
  auto flags = parsed_flags::parse(arguments, flags_of(result.command), true, why);
  if (!flags) {
    why = usage_error(why.message);
    return false;
  }
  result.json = flags->switches.count("json") != 0;
  if (result.command == ctl_arguments::subcommand::check) {
    return read_check(*flags, result, why);
  }
  if (flags->positional.empty()) {
    why = usage_error("status requires at least one ADDRESS");
    return false;
  }
  if (result.command == ctl_arguments::subcommand::explain && !read_explain(*flags, result, why)) {
    return false;
  }
  return read_daemons(flags->positional, result, why);
}

}

std::optional<ctl_arguments>
ctl_arguments::parse(const std::vector<std::string>& arguments, error& why)
{
  ctl_arguments result;
  if (arguments.size() < 2) {
    why = usage_error("a subcommand is missing");
    return std::nullopt;
  }
  const std::string& name = arguments[1];
  if (name == "--help" || name == "--version") {
    result.command = name == "--help" ? subcommand::help : subcommand::version;
    return result;
  }
  if (name == "check") {
    result.command = subcommand::check;
  } else if (name == "status") {
    result.command = subcommand::status;
  } else if (name == "explain") {
    result.command = subcommand::explain;
  } else {
    why = usage_error("the subcommand \"" + name + "\" is unknown");
    return std::nullopt;
  }
  if (!read_subcommand(std::vector<std::string>(arguments.begin() + 1, arguments.end()), result, why)) {
    return std::nullopt;
  }
  return result;
}

std::string
ctl_help_text()
{
  return "Usage:\n"
         "  coltsfootlockctl check FILE [--vms FILE] [--in-force CURRENT] [--record KEY] [--json]\n"
         "      Checks a catalogue, together with a VM list if one is given, and shows how it differs from the version "
         "in\n"
         "      force. With --record, FILE and CURRENT contain values of this record of the platform's store.\n"
         "  coltsfootlockctl status ADDRESS... [--json]\n"
         "      Shows the state of the daemons with these call addresses.\n"
         "  coltsfootlockctl explain ADDRESS --caller IP:port --service IP:port [--key KEY] [--json]\n"
         "      Shows where a daemon would send a packet of this flow or request, and why.\n"
         "  coltsfootlockctl --help | --version\n\n"
         "Exit codes:\n"
         "  0  success; differences from the version in force are no problem\n"
         "  1  the file has errors, or a daemon refused the call\n"
         "  2  wrong arguments\n"
         "  3  the file is valid but has warnings\n"
         "  4  a daemon did not answer within a second\n"
         "  5  a file cannot be read\n";
}

}
