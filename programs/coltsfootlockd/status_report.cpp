#include "status_report.h"

#include "coltsfootlock/coordination/share.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>

namespace coltsfootlock {

namespace {

using nlohmann::json;

json
age_in_seconds(const std::optional<instant>& since, instant now)
{
  return since ? json(std::chrono::duration<double>(now - *since).count()) : json(nullptr);
}

json
members_of(const routing_view& view)
{
  json result = json::array();
  for (const auto& [name, domain] : view.domains) {
    for (const member_view& member : domain.members) {
      result.push_back({ { "id", member.vm.id },
                         { "domain", name },
                         { "alive", member.alive },
                         { "leaving", member.vm.leaving },
                         { "state", to_string(member.state) } });
    }
  }
  return result;
}

json
domains_of(const routing_view& view)
{
  json result = json::array();
  for (const auto& [name, domain] : view.domains) {
    result.push_back({ { "name", name }, { "in_service", domain.in_service } });
  }
  return result;
}

json
targets_of(const traffic_snapshot& traffic, const routing_view* view)
{
  json result = json::array();
  for (const target_use& use : traffic.use) {
    json entry = { { "id", use.target },
                   { "in_flight", use.in_flight },
                   { "slot_share", use.slot_share },
                   { "adaptive_limit", use.adaptive_limit },
                   { "open_flows", use.open_flows },
                   { "connection_share", use.connection_share },
                   { "suspect", use.suspect } };
    const auto target =
      view != nullptr ? view->targets.find(use.target) : std::map<vm_id, target_view>::const_iterator();
    if (view != nullptr && target != view->targets.end()) {
      entry["target_group"] = target->second.vm.target_group;
      entry["leaving"] = target->second.leaving;
    }
    result.push_back(std::move(entry));
  }
  return result;
}

const char*
state_of(const control_snapshot& control)
{
  if (control.leaving) {
    return to_string(daemon_state::leaving);
  }
  return to_string(control.serving ? daemon_state::serving : daemon_state::starting);
}

}

std::string
status_report(const settings& values, const control_snapshot& control, const traffic_snapshot& traffic, instant now)
{
  const routing_view* view = control.view.get();
  json report = { { "vm_id", values.self },
                  { "domain", values.domain },
                  { "state", state_of(control) },
                  { "uptime_seconds", age_in_seconds(control.started, now) },
                  { "catalogue_version", view != nullptr ? json(view->services->version) : json(nullptr) },
                  { "catalogue_age_seconds", age_in_seconds(control.catalogue_adopted_at, now) },
                  { "vm_list_version", view != nullptr ? json(view->vms->version) : json(nullptr) },
                  { "platform_answer_age_seconds", age_in_seconds(control.platform_responded_at, now) },
                  { "uses_shares", view != nullptr && may_spend(*view, now) },
                  { "accepts_keys", view != nullptr && may_accept_keys(*view, now) },
                  { "flows", traffic.counters.flows },
                  { "in_flight", traffic.counters.in_flight },
                  { "queued", traffic.counters.queued },
                  { "keys", traffic.counters.keys },
                  { "domains", view != nullptr ? domains_of(*view) : json::array() },
                  { "members", view != nullptr ? members_of(*view) : json::array() },
                  { "targets", targets_of(traffic, view) },
                  { "last_reason", control.last_reason ? json(control.last_reason->message) : json(nullptr) } };
  return report.dump(-1, ' ', false, json::error_handler_t::replace);
}

}
