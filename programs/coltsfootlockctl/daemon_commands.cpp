#include "daemon_commands.h"

#include "daemon_calls.h"
#include "text_table.h"

#include <cmath>
#include <set>

namespace coltsfootlock {

namespace {

using nlohmann::json;

std::string
cell_text(const json& value)
{
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  return value.is_number_float() ? std::to_string(std::llround(value.get<double>())) + " s" : value.dump();
}

std::string
cell_text(const json& object, const char* name)
{
  return object.is_object() && object.contains(name) ? cell_text(object[name]) : "-";
}

/// The array with this name in the report; empty if the daemon sent none or another type.
json
array_field(const json& report, const char* name)
{
  return report.contains(name) && report[name].is_array() ? report[name] : json::array();
}

std::string
alive_members(const json& report)
{
  std::size_t alive = 0;
  const json members = array_field(report, "members");
  for (const json& member : members) {
    alive += cell_text(member, "alive") == "yes" ? 1 : 0;
  }
  return std::to_string(alive) + "/" + std::to_string(members.size());
}

exit_code
exit_code_of(const std::vector<daemon_response>& responses)
{
  exit_code code = exit_code::success;
  for (const daemon_response& response : responses) {
    if (response.result) {
      continue;
    }
    if (response.why.kind == error_kind::unavailable) {
      return exit_code::unavailable;
    }
    code = exit_code::refused;
  }
  return code;
}

void
write_json(const std::vector<daemon_response>& responses, std::ostream& output)
{
  json report = json::array();
  for (const daemon_response& response : responses) {
    json entry{ { "address", to_string(response.address) } };
    if (response.result) {
      entry["result"] = *response.result;
    } else {
      entry["error"] = response.why.message;
    }
    report.push_back(std::move(entry));
  }
  output << report.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
}

void
write_daemons(const std::vector<daemon_response>& responses, std::ostream& output)
{
  text_table table({ "ADDRESS",
                     "VM",
                     "DOMAIN",
                     "STATE",
                     "CATALOGUE",
                     "AGE",
                     "VM LIST",
                     "PLATFORM",
                     "ALIVE",
                     "SHARES",
                     "KEYS",
                     "FLOWS",
                     "RUNS",
                     "QUEUED" });
  for (const daemon_response& response : responses) {
    if (!response.result) {
      table.add({ to_string(response.address), "-", "-", "no answer" });
      continue;
    }
    const json& report = *response.result;
    table.add({ to_string(response.address),
                cell_text(report, "vm_id"),
                cell_text(report, "domain"),
                cell_text(report, "state"),
                cell_text(report, "catalogue_version"),
                cell_text(report, "catalogue_age_seconds"),
                cell_text(report, "vm_list_version"),
                cell_text(report, "platform_answer_age_seconds"),
                alive_members(report),
                cell_text(report, "uses_shares"),
                cell_text(report, "accepts_keys"),
                cell_text(report, "flows"),
                cell_text(report, "in_flight"),
                cell_text(report, "queued") });
  }
  table.write(output);
}

void
write_targets(const std::vector<daemon_response>& responses, std::ostream& output)
{
  text_table table(
    { "VM", "TARGET", "GROUP", "RUNS", "LIMIT", "SLOT SHARE", "FLOWS", "FLOW SHARE", "SUSPECT", "LEAVING" });
  bool any = false;
  for (const daemon_response& response : responses) {
    const json targets = response.result ? array_field(*response.result, "targets") : json::array();
    for (const json& target : targets) {
      any = true;
      table.add({ cell_text(*response.result, "vm_id"),
                  cell_text(target, "id"),
                  cell_text(target, "target_group"),
                  cell_text(target, "in_flight"),
                  cell_text(target, "adaptive_limit"),
                  cell_text(target, "slot_share"),
                  cell_text(target, "open_flows"),
                  cell_text(target, "connection_share"),
                  cell_text(target, "suspect"),
                  cell_text(target, "leaving") });
    }
  }
  if (any) {
    output << '\n';
    table.write(output);
  }
}

void
write_messages(const std::vector<daemon_response>& responses, std::ostream& output)
{
  std::set<std::string> messages;
  for (const daemon_response& response : responses) {
    if (!response.result) {
      messages.insert(response.why.message);
    } else if (cell_text(*response.result, "last_reason") != "-") {
      messages.insert(cell_text(*response.result, "vm_id") +
                      ": last refusal: " + cell_text(*response.result, "last_reason"));
    }
  }
  for (const std::string& message : messages) {
    output << '\n' << message << '\n';
  }
}

}

exit_code
status_command(const ctl_arguments& arguments, std::ostream& output)
{
  const auto responses = call_daemons(arguments.daemons, "status", json::object());
  if (arguments.json) {
    write_json(responses, output);
    return exit_code_of(responses);
  }
  write_daemons(responses, output);
  write_targets(responses, output);
  write_messages(responses, output);
  return exit_code_of(responses);
}

exit_code
explain_command(const ctl_arguments& arguments, std::ostream& output)
{
  const json params{ { "caller", to_string(arguments.caller) },
                     { "service", to_string(arguments.service) },
                     { "idempotency_key", arguments.key } };
  const auto responses = call_daemons(arguments.daemons, "explain", params);
  if (arguments.json) {
    write_json(responses, output);
    return exit_code_of(responses);
  }
  for (const daemon_response& response : responses) {
    output << (response.result
                 ? cell_text(*response.result, "vm_id") + ": " + cell_text(*response.result, "explanation")
                 : response.why.message)
           << '\n';
  }
  return exit_code_of(responses);
}

}
