#include "check_command.h"

#include "coltsfootlock/protocol/catalogue_json.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

namespace {

struct check_result
{
  exit_code code = exit_code::success;
  std::vector<std::string> errors;
  std::vector<std::string> warnings;
};

std::optional<std::string>
read_file(const std::string& path)
{
  std::ifstream file(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  return file ? std::optional<std::string>(std::move(text)) : std::nullopt;
}

/// Reads and parses one file; adds any error to `result`.
template<typename Record, typename Parser>
std::optional<Record>
read_record(const std::string& path, Parser parse, check_result& result)
{
  const auto text = read_file(path);
  if (!text) {
    result.errors.push_back(path + ": the file cannot be read; check its name and permissions");
    result.code = exit_code::unreadable;
    return std::nullopt;
  }
  error why;
  auto value = parse(*text, why);
  if (!value) {
    result.errors.push_back(path + ": " + why.message);
    result.code = exit_code::refused;
  }
  return value;
}

check_result
check(const ctl_arguments& arguments)
{
  check_result result;
  const auto services = read_record<catalogue>(arguments.file, &parse_catalogue, result);
  std::optional<vm_list> vms;
  if (arguments.vms) {
    vms = read_record<vm_list>(*arguments.vms, &parse_vm_list, result);
  }
  if (services) {
    result.warnings = catalogue_warnings(*services, vms ? &*vms : nullptr);
  }
  if (result.code == exit_code::success && !result.warnings.empty()) {
    result.code = exit_code::warnings;
  }
  return result;
}

}

exit_code
check_command(const ctl_arguments& arguments, std::ostream& output)
{
  const check_result result = check(arguments);
  if (arguments.json) {
    const nlohmann::json report{ { "errors", result.errors }, { "warnings", result.warnings } };
    output << report.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    return result.code;
  }
  for (const std::string& text : result.errors) {
    output << "error: " << text << '\n';
  }
  for (const std::string& text : result.warnings) {
    output << "warning: " << text << '\n';
  }
  output << result.errors.size() << " errors, " << result.warnings.size() << " warnings\n";
  return result.code;
}

}
