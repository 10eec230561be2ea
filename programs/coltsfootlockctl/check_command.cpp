#include "check_command.h"

#include "configuration_check.h"
#include "configuration_difference.h"
#include "platform_catalogue.h"

#include "coltsfootlock/protocol/catalogue_json.h"
#include "platform/record_values.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootlock {

namespace {

struct check_result
{
  exit_code code = exit_code::success;
  std::vector<std::string> errors;
  std::vector<std::string> warnings;
  std::vector<configuration_finding> findings;
  std::optional<std::vector<configuration_difference>> differences; ///< Empty without a version in force.
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

std::optional<catalogue>
read_catalogue(const std::string& path, const ctl_arguments& arguments, check_result& result)
{
  if (!arguments.record) {
    return read_record<catalogue>(path, &parse_catalogue, result);
  }
  const auto parse = [&](const std::string& text, error& why) {
    return catalogue_of(platform::changed_record(*arguments.record, 0, text), why);
  };
  return read_record<catalogue>(path, parse, result);
}

/// Checks for which this project's own format states limits and domains. The platform's catalogue states neither.
std::vector<std::string>
warnings_of(const catalogue& value, const vm_list* vms, const ctl_arguments& arguments)
{
  return catalogue_warnings(value, arguments.record ? nullptr : vms);
}

/// Tells whether warnings_of() has a line on the same problem.
bool
is_in_warnings(finding_kind kind, const ctl_arguments& arguments)
{
  return kind == finding_kind::group_without_targets && !arguments.record;
}

void
add_finding(const configuration_finding& finding, const ctl_arguments& arguments, check_result& result)
{
  result.findings.push_back(finding);
  if (severity_of(finding.kind) == finding_severity::error) {
    result.errors.push_back(to_string(finding));
    if (result.code == exit_code::success) {
      result.code = exit_code::refused;
    }
  } else if (!is_in_warnings(finding.kind, arguments)) {
    result.warnings.push_back(to_string(finding));
  }
}

void
compare(const catalogue& in_force, const catalogue& value, const ctl_arguments& arguments, check_result& result)
{
  if (const auto finding = check_version(in_force, value)) {
    add_finding(*finding, arguments, result);
  }
  result.differences = compare_configurations(in_force, value);
}

check_result
check(const ctl_arguments& arguments)
{
  check_result result;
  const auto services = read_catalogue(arguments.file, arguments, result);
  std::optional<vm_list> vms;
  if (arguments.vms) {
    vms = read_record<vm_list>(*arguments.vms, &parse_vm_list, result);
  }
  std::optional<catalogue> in_force;
  if (arguments.in_force) {
    in_force = read_catalogue(*arguments.in_force, arguments, result);
  }
  if (services) {
    const vm_list* known_vms = vms ? &*vms : nullptr;
    result.warnings = warnings_of(*services, known_vms, arguments);
    for (const configuration_finding& finding : check_configuration(*services, known_vms)) {
      add_finding(finding, arguments, result);
    }
  }
  if (services && in_force) {
    compare(*in_force, *services, arguments, result);
  }
  if (result.code == exit_code::success && !result.warnings.empty()) {
    result.code = exit_code::warnings;
  }
  return result;
}

nlohmann::json
report_of(const check_result& result)
{
  nlohmann::json findings = nlohmann::json::array();
  for (const configuration_finding& finding : result.findings) {
    findings.push_back({ { "kind", to_string(finding.kind) },
                         { "severity", to_string(severity_of(finding.kind)) },
                         { "subject", to_string(finding.subject) },
                         { "name", finding.name },
                         { "problem", finding.problem },
                         { "remedy", finding.remedy } });
  }
  nlohmann::json report{ { "errors", result.errors },
                         { "warnings", result.warnings },
                         { "findings", std::move(findings) } };
  if (result.differences) {
    nlohmann::json differences = nlohmann::json::array();
    for (const configuration_difference& difference : *result.differences) {
      differences.push_back({ { "kind", to_string(difference.kind) },
                              { "name", difference.name },
                              { "field", difference.field },
                              { "before", difference.before },
                              { "after", difference.after } });
    }
    report["differences"] = std::move(differences);
  }
  return report;
}

}

exit_code
check_command(const ctl_arguments& arguments, std::ostream& output)
{
  const check_result result = check(arguments);
  if (arguments.json) {
    output << report_of(result).dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    return result.code;
  }
  for (const std::string& text : result.errors) {
    output << "error: " << text << '\n';
  }
  for (const std::string& text : result.warnings) {
    output << "warning: " << text << '\n';
  }
  if (result.differences) {
    for (const configuration_difference& difference : *result.differences) {
      output << "difference: " << to_string(difference) << '\n';
    }
  }
  output << result.errors.size() << " errors, " << result.warnings.size() << " warnings";
  if (result.differences) {
    output << ", " << result.differences->size() << " differences";
  }
  output << '\n';
  return result.code;
}

}
