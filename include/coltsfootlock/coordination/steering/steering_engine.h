#pragma once

#include "coltsfootlock/coordination/steering/carried_flow_table.h"
#include "coltsfootlock/coordination/steering/flow_placement.h"
#include "coltsfootlock/coordination/steering/isolation_detector.h"
#include "coltsfootlock/coordination/steering/load_meter.h"
#include "coltsfootlock/coordination/steering/load_participation.h"
#include "coltsfootlock/coordination/steering/reachability_check.h"
#include "coltsfootlock/coordination/steering/service_directory.h"
#include "coltsfootlock/coordination/steering/steering_decision.h"
#include "coltsfootlock/coordination/steering/steering_settings.h"
#include "coltsfootlock/coordination/steering/target_directory.h"
#include "coltsfootlock/state/record_change.h"
#include "coltsfootlock/state/target_load.h"
#include "coltsfootlock/state/target_observation.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

struct steering_counters
{
  std::array<std::uint64_t, forward_reason_count> forwarded{};
  std::array<std::uint64_t, flow_end_reason_count> resets{};
  std::array<std::uint64_t, drop_reason_count> dropped{};
  std::uint64_t suspicions = 0;
  std::uint64_t reported_targets = 0; ///< Reports of lost targets by other daemons that were news.
  std::uint64_t alive_reports = 0;    ///< Reports by this daemon that a target is alive.
  std::uint64_t refuted_judgements =
    0;                              ///< Times that such a report of another daemon refuted failed checks of this one.
  std::uint64_t judged_targets = 0; ///< Judgements that a target is dead.
  std::uint64_t checks = 0;
  std::array<std::uint64_t, check_outcome_count> check_outcomes{};
  std::array<std::uint64_t, placement_room_count> placed_by_load{};       ///< Flows placed with load views.
  std::array<std::uint64_t, ignored_value_kinds.size()> ignored_values{}; ///< Of catalogues, by kind of error.

  auto operator<=>(const steering_counters&) const = default;
};

/// A change of a target, the catalogue or a domain, for the log.
struct steering_event
{
  std::string part;    ///< "target", "catalogue" or "domain".
  std::string message; ///< Fields as name=value.

  auto operator<=>(const steering_event&) const = default;
};

/// Decides how to handle packets of carried flows, whose packets name their target. Any daemon can forward any packet
/// of an open flow; only a first packet needs a choice of target. Not thread-safe.
class steering_engine
{
public:
  explicit steering_engine(const steering_settings& settings);

  /// `outage_grace_end`: until then a missing record may be a consequence of an outage of the store.
  void on_record(const record_change& change, instant outage_grace_end, instant now);
  void on_snapshot_begin();
  void on_snapshot_complete(const store_position& position, instant outage_grace_end, instant now);

  /// Sets the time at which the records were last known to be complete. `outage_grace_end`: as in `on_record`.
  void on_confirmed(instant at, instant outage_grace_end = {});

  /// The records cannot be confirmed for now, since the store does not answer. New flows are opened with what is known.
  void on_confirmation_unavailable() { opens_unconfirmed_ = true; }

  /// The process was paused until now. Packets up to `on_backlog_end` were queued during the pause.
  void on_pause(instant now);
  void on_backlog_end() { backlog_ = false; }
  bool has_backlog() const { return backlog_; }

  steering_decision on_packet(const carried_packet& packet, instant now);

  /// To be called every `steering_timing::tick_interval`. Returns the flows to reset.
  std::vector<reset_flow> tick(instant now);

  /// Marks due checks as running and returns them; the result of each is passed to `on_check`.
  std::vector<reachability_check> start_due_checks(instant now);
  void on_check(const vm_id& target, check_outcome outcome, instant now);

  /// Returns and clears the targets that were found to be lost, or alive although others took them for lost, since the
  /// last call, for the other daemons of the domain.
  std::vector<target_observation> take_observations();

  /// Another daemon of the domain found a target to be lost. It gets no new flows for a while if others can take them,
  /// and it is checked without delay if callers wait for it. Only checks of this daemon end flows. Or another daemon
  /// saw an answer of the target, which refutes older evidence that it is lost or gone.
  void on_observation(const target_observation& observation, instant now);

  /// Replaces the views of the targets' load. They are used until they are older than `max_load_view_age`, or until the
  /// process is paused.
  /// `now`: when the views were computed, so that they do not become newer on their way.
  void set_target_loads(const std::vector<target_load_view>& views, instant now);

  /// The answers that this daemon observed in the window that ended since the last call; see `load_meter`.
  std::optional<std::vector<target_load>> take_load_window(instant now) { return load_meter_.take_window(now); }

  /// The sums of `rows` by target group, with the slots of the own domain, or of all domains if it has no target of the
  /// group.
  std::vector<group_load> group_loads(const std::vector<target_load>& rows);

  /// Outstanding requests and slots of the targets whose load is known, by target group.
  std::vector<group_load> known_group_loads(instant now) const;

  /// Number of daemons in the own domain, including this one. They share the rate of new flows of each cold target.
  void set_daemons_in_domain(std::size_t count) { daemons_in_domain_ = count; }

  /// Settings that can change while the daemon runs.
  void set_settings(const steering_settings& settings) { settings_ = settings; }

  /// True once the catalogue and the targets have been received.
  bool has_records() const { return complete_ && services_.current() != nullptr; }

  /// True once new flows are opened. The first list may consist of old pages, with targets and services that have been
  /// removed since, so that it has to be confirmed first. Packets of open flows do not depend on it.
  bool accepts_flows() const { return has_records() && (confirmed_at_ || opens_unconfirmed_); }

  /// True while no target answers, so that other daemons should serve the callers.
  bool isolated() const { return isolation_.isolated(); }

  const steering_counters& counters() const { return counters_; }
  std::size_t flows() const { return flows_.size(); }
  std::size_t targets() const { return targets_.size(); }
  lapsed_targets lapsed() const { return targets_.lapsed(); }
  const catalogue* current_catalogue() const { return services_.current(); }

  /// Returns and clears the events since the last call.
  std::vector<steering_event> take_events();

private:
  /// A target that checks found to be dead. This holds for the flows that it had when the last of these checks started;
  /// later ones need new evidence.
  struct dead_target
  {
    vm_id id;
    instant check_started;
    instant found;
  };

  /// A target whose record shows a new incarnation. Flows without progress since `not_before`, the earliest time at
  /// which it can have started, belong to a previous one.
  struct restarted_target
  {
    vm_id id;
    instant not_before;
  };

  steering_decision on_opening(const carried_packet& packet, instant now);
  steering_decision on_repeated_opening(const carried_packet& packet, carried_flow& flow, instant now);
  steering_decision on_established(const carried_packet& packet, instant now);
  steering_decision place(const carried_packet& packet, const vm_id& avoided, instant now);
  target_state* find_named_target(const carried_packet& packet, drop_reason& why);
  bool accepts_opening(const flow_key& flow, target_state& target, instant now);
  std::optional<placement_condition> condition_of(target_state& target, instant now);
  void observe_packet(const carried_packet& packet, target_state& target, instant now);
  void suspect(target_state& target, const char* evidence, instant now);
  milliseconds quiet_time() const;
  milliseconds gone_target_retention() const;
  bool is_quiet(const target_state& target, instant now) const;
  bool is_gone(const target_state& target, instant now) const;
  bool was_open_before_removal(const carried_flow& flow) const;
  bool is_conclusive(target_state& target, instant now);
  void on_failed_check(target_state& target, check_outcome outcome, instant now);
  void on_alive_observation(target_state& target, instant seen_at);
  void report_if_alive(target_state& target, instant now);
  bool domain_appears_partitioned(const target_state& target);
  void judge_targets(instant now);
  bool check_is_due(const target_state& target, instant now) const;
  bool records_are_fresh(instant now) const;
  void on_target_progress(carried_flow& flow, target_state& target, instant answered_at, instant now);
  void forget_target_loads();
  static bool is_busy(const target_state& target, instant now);
  void release_flow(const carried_flow& flow);
  bool may_warm_up(target_state& target, instant now) const;
  void start_awaiting(target_state& target, instant now);
  static bool takes_flows(const target_state& target);
  static void ramp_up(target_state& target, instant start);
  static void ramp_up_if_recovered(target_state& target, instant now);
  void ramp_up_domain(const std::string& domain, instant now);
  static void add_load(target_state& target, instant now, placement_candidate& candidate);
  void report_ignored_values(const catalogue& value);
  bool may_reset(const flow_key& key, const carried_flow& flow) const;
  static bool belongs_to_previous_incarnation(const carried_flow& flow, const std::vector<restarted_target>& restarted);
  static const dead_target* found_dead(const carried_flow& flow,
                                       const target_state& target,
                                       const std::vector<dead_target>& dead);
  void reset_flows_of_lost_targets(instant now, std::vector<reset_flow>& resets);
  void expire_idle_flows(instant now);
  void on_restart(const vm_id& id, instant now);
  void report(const char* part, std::string message);
  void report_target(const target_state& target, const std::string& event, instant now);
  void report_removal(const target_state& target, instant now);
  std::string check_evidence(const target_state& target, instant now);
  steering_decision forward(forward_reason reason, const target_state& target);
  steering_decision reset(flow_end_reason reason, const carried_packet& packet, const vm_id& target);
  steering_decision drop(drop_reason reason);

  steering_settings settings_;
  service_directory services_;
  target_directory targets_;
  carried_flow_table flows_;
  isolation_detector isolation_;
  load_meter load_meter_;
  std::vector<vm_id> loaded_targets_; ///< Targets whose load is set.
  bool complete_ = false;
  bool opens_unconfirmed_ = false;
  bool backlog_ = false; ///< Packets that were queued during a pause are being handled.
  std::optional<instant> confirmed_at_;
  instant outage_grace_end_;
  std::uint64_t list_era_ = 0;            ///< Of the last complete list.
  instant rewritten_by_;                  ///< Until then records may come from an older copy of the store.
  instant check_answered_at_;             ///< Last time that a target of the own domain answered a check.
  std::uint64_t last_answered_check_ = 0; ///< Highest number of a check that a target of the own domain answered.
  std::vector<dead_target> dead_targets_; ///< Found since the last tick.
  std::vector<target_observation> observations_;
  instant next_expiry_;
  instant observing_since_; ///< Start of uninterrupted observation: the start of the daemon or the end of the last
                            ///< pause. Silence before it is no evidence.
  std::uint64_t self_hash_ = 0;
  duration report_interval_; ///< Of this daemon, between `min_report_delay` and `max_report_delay`.
  std::size_t daemons_in_domain_ = 1;
  steering_counters counters_;
  std::vector<steering_event> events_;
  std::vector<placement_candidate> candidates_;     ///< Member to avoid an allocation per flow.
  std::vector<restarted_target> restarted_targets_; ///< Found since the last tick.
};

}
