#pragma once

#include "authority.h"
#include "coltsfootlock/coordination/control_engine.h"
#include "entry_sets.h"
#include "flow_pulls.h"
#include "heartbeat_schedule.h"
#include "membership.h"
#include "platform_budget.h"
#include "record_synchronizer.h"
#include "request_duration_limit.h"
#include "target_conditions.h"
#include "view_publisher.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Implements the control engine. Every input handler first calls detect_pause(), so that a pause of the process is
/// handled before any decision.
class control_core
{
public:
  using actions = std::vector<control_action>;

  control_core(control_identity identity, timing times, instant now);

  actions on_heartbeat(const heartbeat& message, instant now);
  actions on_catalogue(std::shared_ptr<const catalogue> value, bool from_platform, instant now);
  actions on_vm_list(std::shared_ptr<const vm_list> value, bool from_platform, instant now);
  actions on_platform_unchanged(published_record record, std::uint64_t version, instant now);
  actions on_read_failed(published_record record, const error& reason, instant now);
  actions on_fetch_failed(published_record record, const vm_id& peer, const error& reason, instant now);
  actions on_flows_pulled(const vm_id& peer, bool complete, instant now);
  actions on_target_report(const vm_id& target, const target_report& report, bool shed, instant now);
  void on_capacity(std::vector<group_capacity> capacity);
  actions begin_leaving(instant now);
  actions on_traffic_finished(instant now);
  actions tick(instant now);

  std::shared_ptr<const routing_view> view() const;
  bool serving() const;
  std::optional<error> last_reason() const;

private:
  // Inputs.
  void detect_pause(instant now);
  bool input_is_current(instant now) const;
  bool accept_record(record_synchronizer& synchronizer,
                     std::uint64_t version,
                     std::uint64_t digest,
                     bool from_platform,
                     instant now);
  void confirm(published_record record, instant now);
  void adopt_catalogue(std::shared_ptr<const catalogue> value, instant now);
  void adopt_list(std::shared_ptr<const vm_list> value, instant now);
  void update_peer_versions(const heartbeat& message, instant now);
  record_synchronizer& synchronizer_for(published_record record);
  duration warm_up_of(const vm_id& target) const;
  duration max_warm_up() const;

  // Periodic work.
  void refresh(instant now);
  void update_serving(instant now);
  void update_authority(instant now);
  void log_liveness(instant now);
  void publish(instant now);
  routing_view build_view(instant now) const;
  void send_heartbeats(instant now);
  std::size_t send_to(const entry_vm& peer, heartbeat message);
  heartbeat make_heartbeat(instant now) const;
  void send_urgent_heartbeat(instant now);
  void read_records(instant now);
  read_reasons read_reasons_for(published_record record, instant now) const;
  void fetch_record(record_synchronizer& synchronizer, instant now);
  void pull_flow_records(instant now);
  void poll_targets(instant now);

  // Derived values.
  std::vector<entry_vm> own_domain_peers() const;
  std::vector<vm_id> listed_members() const;
  std::vector<std::string> other_domains() const;
  std::vector<vm_id> live_members(instant now) const;
  std::vector<vm_id> platform_readers(instant now) const;
  std::uint64_t domain_catalogue_version(instant now) const;
  duration hold_off(instant now) const;
  duration key_hold_off(instant now) const;
  const entry_vm* address_of(const vm_id& peer) const;

  void add_action(control_action action);
  void log(const char* part, std::string text);
  void log_targets();
  actions take_actions();

  control_identity identity_;
  timing times_;
  instant started_;
  instant last_call_;
  instant resumed_;
  std::mt19937_64 random_;

  membership peers_;
  heartbeat_schedule schedule_;
  authority authority_;
  entry_sets sets_;
  request_duration_limit request_duration_limit_;
  platform_budget budget_;
  record_synchronizer catalogue_synchronizer_;
  record_synchronizer list_synchronizer_;
  target_conditions targets_;
  flow_pulls pulls_;
  view_publisher publisher_;

  std::shared_ptr<const catalogue> catalogue_;
  std::shared_ptr<const vm_list> list_;
  std::map<vm_id, entry_vm> addresses_; ///< Listed entry VMs, former members of a set, and seeds.
  std::map<vm_id, bool> logged_alive_;
  std::map<vm_id, instant> next_poll_;
  std::vector<group_capacity> capacity_;
  daemon_state state_ = daemon_state::starting;
  bool released_ = false;
  bool peer_responded_ = false;
  bool urgent_heartbeat_ = false;
  instant last_urgent_heartbeat_{};
  std::uint64_t sequence_ = 0;
  std::optional<instant> first_list_adopted_; ///< Adoption of the first list since the start or the last reset.
  std::optional<instant> spend_from_;
  instant catalogue_adopted_{};
  instant spend_until_{};
  instant keys_until_{};
  bool spending_ = false;
  bool owning_keys_ = false;
  bool ownership_interrupted_ = false;
  bool spending_authority_lapsed_ = false; ///< Whether it lapsed while settled, since the VM list in force was adopted.
  bool key_authority_lapsed_ = false; ///< Whether it lapsed while settled, since the catalogue in force was adopted.
  std::optional<error> last_reason_;
  actions pending_actions_;
};

}
