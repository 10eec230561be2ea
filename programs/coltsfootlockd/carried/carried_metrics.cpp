#include "carried/carried_metrics.h"

#include "metric_builder.h"
#include "metrics_text.h"

#include "coltsfootlock/transport/log.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace coltsfootlock {

namespace {

template<typename Reason, std::size_t Count>
void
add_by_reason(metric_builder& metrics, const std::array<std::uint64_t, Count>& counts)
{
  for (std::size_t reason = 0; reason < Count; ++reason) {
    metrics.add(static_cast<double>(counts[reason]), { { "reason", to_string(static_cast<Reason>(reason)) } });
  }
}

void
add_count(const std::map<error_kind, std::uint64_t>& counts, error_kind reason, metric_builder& metrics)
{
  const auto count = counts.find(reason);
  metrics.add(count == counts.end() ? 0 : static_cast<double>(count->second), { { "reason", to_string(reason) } });
}

void
add_engine(const steering_engine& engine, metric_builder& metrics)
{
  const steering_counters& counters = engine.counters();
  metrics.begin_counter("packets_forwarded_total", "Packets sent to targets, by reason.");
  add_by_reason<forward_reason>(metrics, counters.forwarded);
  metrics.begin_counter("flows_reset_total", "Resets sent to callers, by reason.");
  add_by_reason<flow_end_reason>(metrics, counters.resets);
  metrics.begin_counter("packets_discarded_total", "Packets of callers that were not forwarded, by reason.");
  add_by_reason<drop_reason>(metrics, counters.dropped);
  metrics.counter("target_suspicions_total",
                  "Times that a target got no new flows because it did not answer.",
                  static_cast<double>(counters.suspicions));
  metrics.counter("target_reports_total",
                  "Reports of lost targets by other daemons that were news.",
                  static_cast<double>(counters.reported_targets));
  metrics.counter("target_alive_reports_total",
                  "Reports by this daemon that a target is alive which others take for lost or gone.",
                  static_cast<double>(counters.alive_reports));
  metrics.counter("target_refutations_total",
                  "Times that a report of another daemon refuted failed checks of this one.",
                  static_cast<double>(counters.refuted_judgements));
  metrics.counter(
    "target_judgements_total", "Judgements that a target is dead.", static_cast<double>(counters.judged_targets));
  metrics.counter("target_checks_total",
                  "Connections opened to targets to learn whether they are there.",
                  static_cast<double>(counters.checks));
  metrics.begin_counter("target_check_results_total", "Ended checks of targets, by outcome.");
  for (std::size_t outcome = 0; outcome < check_outcome_count; ++outcome) {
    metrics.add(static_cast<double>(counters.check_outcomes[outcome]),
                { { "outcome", to_string(static_cast<check_outcome>(outcome)) } });
  }
  metrics.begin_counter("flows_placed_by_load_total",
                        "New flows placed while the load of targets was known, by where the target had room.");
  for (std::size_t room = 0; room < placement_room_count; ++room) {
    metrics.add(static_cast<double>(counters.placed_by_load[room]),
                { { "room", to_string(static_cast<placement_room>(room)) } });
  }
  metrics.begin_counter("catalogue_values_ignored_total",
                        "Values of catalogues that were not usable and ignored, by reason.");
  for (std::size_t kind = 0; kind < ignored_value_kinds.size(); ++kind) {
    metrics.add(static_cast<double>(counters.ignored_values.at(kind)),
                { { "reason", to_string(ignored_value_kinds.at(kind)) } });
  }
  metrics.gauge("flows", "Flows seen and not ended.", static_cast<double>(engine.flows()));
  metrics.gauge("targets", "Targets known, including those that are gone.", static_cast<double>(engine.targets()));
  const catalogue* services = engine.current_catalogue();
  metrics.gauge("catalogue_version",
                "Version of the catalogue in force; 0 if none is known.",
                services == nullptr ? 0 : static_cast<double>(services->version));
}

/// What the daemon does because the store may have been away, why and for how long.
void
add_outages(const record_path& records, const lapsed_targets& lapsed, instant now, metric_builder& metrics)
{
  metrics.begin_counter("outages_assumed_total", "Outages of the store that the daemon assumed, by reason.");
  add_by_reason<outage_sign>(metrics, records.counters().assumed_outages);
  metrics.begin_gauge("targets_lapsed",
                      "Removed targets that still get flows since the store may have been away, by reason.");
  for (std::size_t sign = 0; sign < outage_sign_count; ++sign) {
    const bool applies = records.outage() && static_cast<std::size_t>(records.outage()->sign) == sign;
    metrics.add(applies ? static_cast<double>(lapsed.count) : 0,
                { { "reason", to_string(static_cast<outage_sign>(sign)) } });
  }
  metrics.gauge("targets_lapsed_seconds",
                "Time since the first of the lapsed targets was removed; 0 if there are none.",
                lapsed.since ? std::chrono::duration<double>(now - *lapsed.since).count() : 0);
}

void
add_records(const record_path& records, instant now, metric_builder& metrics)
{
  const record_counters& counters = records.counters();
  metrics.begin_counter("record_calls_total", "Calls for records, by kind and source.");
  metrics.add(static_cast<double>(counters.store_lists), { { "kind", "list" }, { "source", "store" } });
  metrics.add(static_cast<double>(counters.store_watches), { { "kind", "watch" }, { "source", "store" } });
  metrics.add(static_cast<double>(counters.peer_calls), { { "kind", "any" }, { "source", "daemon" } });
  metrics.begin_counter("record_failures_total", "Calls for records without a usable answer, by source.");
  metrics.add(static_cast<double>(counters.store_failures), { { "source", "store" } });
  metrics.add(static_cast<double>(counters.peer_failures), { { "source", "daemon" } });
  metrics.counter("overdue_record_reads_total",
                  "Calls to the store because the records were too old to ask another daemon first.",
                  static_cast<double>(counters.overdue_reads));
  metrics.counter("record_changes_total", "Changes of records.", static_cast<double>(counters.changes));
  const auto confirmed = records.confirmed_at();
  metrics.gauge("records_age_seconds",
                "Time since the records were last known to be complete; -1 if they never were.",
                confirmed ? std::chrono::duration<double>(now - *confirmed).count() : -1);
  metrics.gauge("store_era",
                "Era of the records, which grows each time that the store comes back from an older copy.",
                static_cast<double>(records.cache().position().era));
  metrics.counter("record_era_lists_total",
                  "Complete lists that were read because the store began an era.",
                  static_cast<double>(counters.era_lists));
  metrics.counter("record_lower_era_responses_total",
                  "Responses refused because they were of a lower era than one heard of before.",
                  static_cast<double>(counters.lower_era_responses));
  metrics.begin_counter("store_era_headers_unusable_total",
                        "Headers Store-Era of the store that are not a number, by reason.");
  for (const error_kind reason : { error_kind::syntax, error_kind::out_of_range }) {
    add_count(counters.unusable_eras, reason, metrics);
  }
  metrics.gauge("store_revision", "Revision of the records.", static_cast<double>(records.cache().position().revision));
}

void
add_loads(const load_path& loads, const steering_engine& engine, instant now, metric_builder& metrics)
{
  const load_counters& counters = loads.counters();
  metrics.gauge("load_participating",
                "1 while the daemon exchanges loads of targets with other daemons.",
                loads.participating() ? 1 : 0);
  metrics.begin_counter("load_rows_total", "Loads of targets exchanged with other daemons, by direction.");
  metrics.add(static_cast<double>(counters.rows_sent), { { "direction", "sent" } });
  metrics.add(static_cast<double>(counters.rows_received), { { "direction", "received" } });
  metrics.counter("load_messages_refused_total",
                  "Messages with loads that were malformed or beyond the limits.",
                  static_cast<double>(counters.messages_refused));
  metrics.counter("load_calls_failed_total",
                  "Calls about loads to other daemons without a usable answer.",
                  static_cast<double>(counters.calls_failed));
  const auto totals = loads.board().totals(now);
  metrics.gauge("load_totals_age_seconds",
                "Time since the loads of all targets were summed up; -1 if they are not known.",
                totals ? std::chrono::duration<double>(totals->age).count() : -1);
  metrics.begin_gauge("group_outstanding_per_slot",
                      "Mean number of outstanding requests per slot of the targets whose load is known.");
  for (const group_load& group : engine.known_group_loads(now)) {
    metrics.add(group.outstanding / static_cast<double>(std::max<std::uint64_t>(group.slots, 1)),
                { { "group", group.group } });
  }
}

prometheus::MetricFamily
histogram_family(const std::string& name, const std::string& help, const time_histogram& histogram)
{
  return { "coltsfootlock_" + name, help, prometheus::MetricType::Histogram, { histogram.collect() } };
}

}

std::vector<prometheus::MetricFamily>
settings_metric_families(const settings_reloader& settings)
{
  metric_builder metrics;
  metrics.gauge("settings_last_reload_successful",
                "0 while the settings file has values that were refused, so that the previous ones remain in effect.",
                settings.last_successful() ? 1 : 0);
  metrics.begin_counter("settings_reloads_refused_total",
                        "Reloads of the settings that were refused, by reason; the file is read every 2 s.");
  for (const error_kind reason : { error_kind::syntax,
                                   error_kind::missing_field,
                                   error_kind::out_of_range,
                                   error_kind::unknown_name,
                                   error_kind::duplicate_name,
                                   error_kind::conflict,
                                   error_kind::unavailable }) {
    add_count(settings.refusals(), reason, metrics);
  }
  return metrics.take();
}

std::vector<prometheus::MetricFamily>
carried_metric_families(const steering_engine& engine,
                        const packet_path& packets,
                        const record_path& records,
                        const load_path& loads,
                        const settings_reloader& settings,
                        std::uint64_t sent_record_bytes,
                        std::uint64_t unexpected_errors,
                        bool ready,
                        instant now)
{
  metric_builder metrics;
  add_engine(engine, metrics);
  add_records(records, now, metrics);
  add_outages(records, engine.lapsed(), now, metrics);
  add_loads(loads, engine, now, metrics);
  metrics.counter(
    "record_bytes_sent_total", "Bytes of answers sent to other daemons.", static_cast<double>(sent_record_bytes));
  metrics.counter("unexpected_errors_total",
                  "Errors that ended the handling of an event; each has a line in the log.",
                  static_cast<double>(unexpected_errors));
  metrics.gauge("ready", "1 while the daemon asks for traffic.", ready ? 1 : 0);
  metrics.counter(
    "packets_malformed_total", "Datagrams that are no packet.", static_cast<double>(packets.counters().malformed));
  metrics.counter("send_failures_total",
                  "Datagrams that the system did not take.",
                  static_cast<double>(packets.counters().send_failures));
  metrics.counter(
    "log_lines_dropped_total", "Log lines lost because too many waited.", static_cast<double>(dropped_log_lines()));
  auto families = metrics.take();
  auto settings_families = settings_metric_families(settings);
  std::move(settings_families.begin(), settings_families.end(), std::back_inserter(families));
  families.push_back(
    histogram_family("store_list_seconds", "Time of a list call to the platform's store.", records.list_seconds()));
  return families;
}

std::string
carried_metrics(const steering_engine& engine,
                const packet_path& packets,
                const record_path& records,
                const load_path& loads,
                const settings_reloader& settings,
                std::uint64_t sent_record_bytes,
                std::uint64_t unexpected_errors,
                bool ready,
                instant now)
{
  return metrics_text(carried_metric_families(
    engine, packets, records, loads, settings, sent_record_bytes, unexpected_errors, ready, now));
}

}
