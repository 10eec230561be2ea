#include "metrics_report.h"

#include "metric_builder.h"

#include "coltsfootlock/coordination/share.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace coltsfootlock {

namespace {

double
as_double(std::uint64_t value)
{
  return static_cast<double>(value);
}

double
seconds_since(const std::optional<instant>& time, instant now)
{
  return time ? std::chrono::duration<double>(now - *time).count() : -1;
}

void
add_traffic(const traffic_counters& counters, metric_builder& metrics)
{
  metrics.counter(
    "packets_from_callers_total", "Packets received from the fabric.", as_double(counters.packets_from_callers));
  metrics.counter("packets_to_targets_total", "Packets sent to targets.", as_double(counters.packets_to_targets));
  metrics.counter("packets_to_peers_total", "Packets passed to other daemons.", as_double(counters.packets_to_peers));
  metrics.counter("packets_across_domains_total",
                  "Packets sent to another failure domain.",
                  as_double(counters.packets_across_domains));
  metrics.counter(
    "packets_dropped_total", "Packets that the traffic engine dropped.", as_double(counters.packets_dropped));
  metrics.counter("flows_opened_total", "Flows opened at this daemon as home.", as_double(counters.flows_opened));
  metrics.counter("flows_broken_total", "Flows that the system reset.", as_double(counters.flows_broken));
  metrics.counter("flow_lookups_failed_total",
                  "Searches for the record of a flow that ended without one.",
                  as_double(counters.flow_lookups_failed));
  metrics.counter("flow_path_changes_total",
                  "Flows moved to another source port because their target was silent.",
                  as_double(counters.path_changes));
  metrics.counter("requests_received_total", "Requests received.", as_double(counters.requests_received));
  metrics.counter("requests_dispatched_total", "Runs sent to targets.", as_double(counters.requests_dispatched));
  metrics.counter("requests_answered_total", "Requests answered.", as_double(counters.requests_answered));
  metrics.counter("requests_retried_total", "Runs repeated at another target.", as_double(counters.requests_retried));
  metrics.counter(
    "answers_unmatched_total", "Answer segments that match no run.", as_double(counters.answers_unmatched));
  metrics.gauge("flows", "Flow records held.", as_double(counters.flows));
  metrics.gauge("requests_in_flight", "Runs at targets.", as_double(counters.in_flight));
  metrics.gauge("requests_queued", "Requests that wait for a slot.", as_double(counters.queued));
  metrics.gauge("idempotency_keys", "Idempotency keys remembered.", as_double(counters.keys));
}

void
add_refusals(const traffic_counters& counters, metric_builder& metrics)
{
  metrics.begin_counter("refusals_total", "Requests refused, by outcome and reason.");
  for (const run_outcome outcome : { run_outcome::not_run, run_outcome::may_have_run }) {
    for (std::size_t reason = 0; reason < std::size(counters.refusals[0]); ++reason) {
      metrics.add(as_double(counters.refusals[static_cast<std::size_t>(outcome)][reason]),
                  { { "outcome", to_string(outcome) }, { "reason", to_string(static_cast<refusal_reason>(reason)) } });
    }
  }
}

void
add_target_use(const std::vector<target_use>& uses, metric_builder& metrics)
{
  const auto gauge = [&](const char* name, const char* help, auto value) {
    metrics.begin_gauge(name, help);
    for (const target_use& use : uses) {
      metrics.add(value(use), { { "target", use.target } });
    }
  };
  gauge("target_slots_in_use", "Runs of this daemon at the target.", [](const auto& use) { return use.in_flight; });
  gauge("target_slot_share", "Slots of the target that this daemon may use.", [](const auto& use) {
    return use.slot_share;
  });
  gauge("target_adaptive_limit",
        "Runs that this daemon sends to the target at once, by its own observation.",
        [](const auto& use) { return use.adaptive_limit; });
  gauge("target_open_flows", "Flows that use this daemon's share of the target.", [](const auto& use) {
    return use.open_flows;
  });
  gauge("target_connection_share", "Connections of the target that this daemon may use.", [](const auto& use) {
    return use.connection_share;
  });
  gauge("target_suspect", "1 while the target is suspect after timeouts.", [](const auto& use) {
    return use.suspect ? 1 : 0;
  });
}

/// Ratio of the maximum to the mean; 1 if all values are 0.
double
imbalance(const std::vector<double>& values)
{
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return sum == 0 ? 1 : *std::max_element(values.begin(), values.end()) * static_cast<double>(values.size()) / sum;
}

void
add_imbalance(const traffic_snapshot& traffic, const routing_view* view, metric_builder& metrics)
{
  std::map<std::string, std::vector<double>> flows;
  std::map<std::string, std::vector<double>> slots;
  for (const target_use& use : traffic.use) {
    const bool listed = view != nullptr && view->targets.count(use.target) != 0;
    if (!listed || view->targets.at(use.target).leaving) {
      continue;
    }
    const std::string& group = view->targets.at(use.target).vm.target_group;
    flows[group].push_back(use.open_flows);
    slots[group].push_back(use.in_flight);
  }
  metrics.begin_gauge("flow_imbalance_ratio",
                      "Most over mean open flows of this daemon at the targets of a group that are not leaving.");
  for (const auto& [group, values] : flows) {
    metrics.add(imbalance(values), { { "target_group", group } });
  }
  metrics.begin_gauge("slot_imbalance_ratio",
                      "Most over mean runs of this daemon at the targets of a group that are not leaving.");
  for (const auto& [group, values] : slots) {
    metrics.add(imbalance(values), { { "target_group", group } });
  }
}

void
add_control(const control_snapshot& control, instant now, metric_builder& metrics)
{
  const routing_view* view = control.view.get();
  metrics.gauge("serving", "1 while the daemon serves.", control.serving && !control.leaving ? 1 : 0);
  metrics.gauge("catalogue_version",
                "Version of the catalogue in force; 0 if none is known.",
                view != nullptr ? as_double(view->services->version) : 0);
  metrics.gauge("catalogue_age_seconds",
                "Time since the catalogue in force was adopted; -1 if none is known.",
                seconds_since(control.catalogue_adopted_at, now));
  metrics.gauge("vm_list_version",
                "Version of the VM list in force; 0 if none is known.",
                view != nullptr ? as_double(view->vms->version) : 0);
  metrics.gauge("platform_answer_age_seconds",
                "Time since the platform last answered; -1 if it has not.",
                seconds_since(control.platform_responded_at, now));
  metrics.gauge("spend_authority", "1 while shares may be used.", view != nullptr && may_spend(*view, now) ? 1 : 0);
  metrics.gauge("key_authority",
                "1 while idempotency keys may be accepted.",
                view != nullptr && may_accept_keys(*view, now) ? 1 : 0);
  metrics.begin_gauge("members_alive", "Listed entry VMs that this daemon hears, itself included.");
  if (view == nullptr) {
    return;
  }
  for (const auto& [name, domain] : view->domains) {
    const auto alive =
      std::count_if(domain.members.begin(), domain.members.end(), [](const auto& member) { return member.alive; });
    metrics.add(static_cast<double>(alive), { { "domain", name } });
  }
}

void
add_datagrams(const datagram_counters& counters, metric_builder& metrics)
{
  metrics.begin_counter("datagrams_refused_total", "Datagrams dropped before the traffic engine, by reason.");
  metrics.add(as_double(counters.malformed_from_callers), { { "reason", "malformed_from_callers" } });
  metrics.add(as_double(counters.malformed_from_targets), { { "reason", "malformed_from_targets" } });
  metrics.add(as_double(counters.malformed_from_peers), { { "reason", "malformed_from_peers" } });
  metrics.add(as_double(counters.unauthenticated), { { "reason", "unauthenticated" } });
  metrics.add(as_double(counters.unknown_targets), { { "reason", "unknown_target" } });
  metrics.add(as_double(counters.before_first_view), { { "reason", "before_first_view" } });
  metrics.counter("send_failures_total", "Datagrams that the system did not take.", as_double(counters.send_failures));
}

void
add_bytes(const metrics_input& input, metric_builder& metrics)
{
  const datagram_counters& datagrams = input.traffic->datagrams;
  metrics.begin_counter("control_sent_bytes_total", "Control traffic sent: UDP payloads and HTTP bodies, by kind.");
  metrics.add(as_double(datagrams.heartbeat_bytes_sent), { { "kind", "heartbeat" } });
  metrics.add(as_double(datagrams.hint_bytes_sent), { { "kind", "hint" } });
  metrics.add(as_double(input.call_bytes_sent), { { "kind", "call" } });
  metrics.begin_counter("control_received_bytes_total",
                        "Control traffic received: UDP payloads and HTTP bodies, by kind.");
  metrics.add(as_double(datagrams.heartbeat_bytes_received), { { "kind", "heartbeat" } });
  metrics.add(as_double(datagrams.hint_bytes_received), { { "kind", "hint" } });
  metrics.add(as_double(input.call_bytes_received), { { "kind", "call" } });
  metrics.add(as_double(input.platform_bytes_received), { { "kind", "platform" } });
  metrics.add(as_double(input.load_bytes_received), { { "kind", "load" } });
  metrics.counter(
    "forwarded_sent_bytes_total", "Sealed packets passed to peers.", as_double(datagrams.forwarded_bytes_sent));
  metrics.counter("forwarded_received_bytes_total",
                  "Sealed packets taken from peers.",
                  as_double(datagrams.forwarded_bytes_received));
}

void
add_failures(const metrics_input& input, metric_builder& metrics)
{
  metrics.counter("calls_refused_total", "JSON-RPC calls without a valid tag.", as_double(input.calls_refused));
  metrics.counter("invariant_failures_total", "Failed checks of invariants.", as_double(input.invariant_failures));
  metrics.counter(
    "log_lines_dropped_total", "Log lines dropped because too many waited.", as_double(input.dropped_log_lines));
  metrics.begin_counter("queue_items_dropped_total", "Items dropped because a queue between threads was full.");
  metrics.add(as_double(input.dropped_reports), { { "queue", "reports" } });
  metrics.add(as_double(input.dropped_results), { { "queue", "results" } });
  metrics.add(as_double(input.dropped_commands), { { "queue", "commands" } });
  metrics.add(as_double(input.dropped_jobs), { { "queue", "jobs" } });
}

}

std::vector<prometheus::MetricFamily>
metrics_report(const metrics_input& input)
{
  metric_builder metrics;
  add_traffic(input.traffic->counters, metrics);
  add_refusals(input.traffic->counters, metrics);
  add_target_use(input.traffic->use, metrics);
  add_imbalance(*input.traffic, input.control->view.get(), metrics);
  add_control(*input.control, input.now, metrics);
  add_datagrams(input.traffic->datagrams, metrics);
  add_bytes(input, metrics);
  add_failures(input, metrics);
  return metrics.take();
}

}
