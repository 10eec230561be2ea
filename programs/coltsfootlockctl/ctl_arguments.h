#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"

#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// The validated arguments of coltsfootlockctl.
struct ctl_arguments
{
  enum class subcommand
  {
    help,
    version,
    check,
    status,
    explain,
  };

  subcommand command = subcommand::help;
  bool json = false;
  std::string file;                    ///< check
  std::optional<std::string> vms;      ///< check
  std::optional<std::string> in_force; ///< check: file with the version in force
  std::optional<std::string> record;   ///< check: key of the store's record whose values the files contain
  std::vector<endpoint> daemons;       ///< status: one or more; explain: one
  endpoint caller;                     ///< explain
  endpoint service;                    ///< explain
  std::string key;                     ///< explain

  /// `arguments` begins with the name of the program. Empty with the reason in `why` if they are wrong.
  static std::optional<ctl_arguments> parse(const std::vector<std::string>& arguments, error& why);
};

/// The text of --help.
std::string
ctl_help_text();

}
