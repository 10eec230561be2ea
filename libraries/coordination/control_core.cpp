#include "control_core.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

// Ticks come every 50 ms, so a longer gap between two calls means that the process was paused. Input may be as old as
// the longest undetected pause, so this value must stay below the margin of the hold-off.
constexpr milliseconds pause_threshold{ 200 };
// After a pause the socket buffers still hold messages that were sent during it and are out of date.
constexpr milliseconds stale_input_after_pause{ 500 };

const char*
name_of(published_record record)
{
  return record == published_record::catalogue ? "catalogue" : "VM list";
}

duration
evidence_wait(duration authority_timeout, const timing& times)
{
  // Allows two responses per authority timeout. The wait of a watch is given in whole seconds, so one is the minimum.
  return std::clamp<duration>(authority_timeout / 2, seconds(1), times.platform_wait);
}

}

control_core::control_core(control_identity identity, timing times, instant now)
  : identity_(std::move(identity))
  , times_(times)
  , started_(now)
  , last_call_(now)
  , resumed_(now)
  , random_(identity_.boot_id)
  , peers_(times)
  , schedule_(identity_.self, identity_.domain, times)
  , authority_(identity_.self, identity_.domain, times)
  , sets_(identity_.self, identity_.domain, times.key_retention)
  , catalogue_synchronizer_(published_record::catalogue, evidence_wait(times.key_authority_timeout, times), times)
  , list_synchronizer_(published_record::vm_list, evidence_wait(times.spend_authority_timeout, times), times)
  , publisher_(times)
{
  for (const entry_vm& seed : identity_.seeds) {
    addresses_[seed.id] = seed;
  }
}

void
control_core::detect_pause(instant now)
{
  if (now - last_call_ > pause_threshold) {
    log("membership",
        "paused for " + std::to_string(std::chrono::duration_cast<milliseconds>(now - last_call_).count()) + " ms");
    peers_.resume(last_call_, schedule_.suspect_after(true), now);
    resumed_ = now;
  }
  last_call_ = std::max(last_call_, now);
}

bool
control_core::input_is_current(instant now) const
{
  return now >= resumed_ + stale_input_after_pause;
}

control_core::actions
control_core::on_heartbeat(const heartbeat& message, instant now)
{
  detect_pause(now);
  if (message.sender == identity_.self) {
    last_reason_ = error{ error_kind::conflict,
                          "received a heartbeat with this daemon's id as its sender; give each VM a unique id" };
    return take_actions();
  }
  const bool own_domain = message.domain == identity_.domain;
  if (!peers_.on_heartbeat(message, schedule_.suspect_after(own_domain), now)) {
    return take_actions();
  }
  peer_responded_ = true;
  update_peer_versions(message, now);
  sets_.on_heartbeat(message, catalogue_synchronizer_.version());
  if (own_domain && input_is_current(now)) {
    for (const target_status& status : message.targets) {
      targets_.on_peer_status(status, now);
    }
    log_targets();
  }
  return take_actions();
}

void
control_core::update_peer_versions(const heartbeat& message, instant now)
{
  catalogue_synchronizer_.on_peer_version(message.sender, message.catalogue_version, random_, now);
  list_synchronizer_.on_peer_version(message.sender, message.vm_list_version, random_, now);
  if (!input_is_current(now)) {
    return;
  }
  // A peer that has just started may not have seen a newer set that excludes this daemon.
  if (message.adopted_entry_set == 0) {
    return;
  }
  // A peer with a newer record may already act on another set, so its heartbeat does not confirm this daemon's set.
  const bool list = list_synchronizer_.known() && message.vm_list_version <= list_synchronizer_.version();
  const bool services =
    catalogue_synchronizer_.known() && message.catalogue_version <= catalogue_synchronizer_.version();
  peers_.record_evidence(message.sender, list, services, now);
}

bool
control_core::accept_record(record_synchronizer& synchronizer,
                            std::uint64_t version,
                            std::uint64_t digest,
                            bool from_platform,
                            instant now)
{
  const bool evidence = from_platform && synchronizer.on_platform_response(resumed_, now);
  if (!from_platform) {
    synchronizer.on_fetched();
    peer_responded_ = true;
  }
  const version_comparison comparison = synchronizer.compare(version, digest);
  const std::string name = name_of(synchronizer.record());
  if (comparison == version_comparison::conflict) {
    last_reason_ = error{ error_kind::conflict,
                          name + " version " + std::to_string(version) +
                            " was published with two different contents; publish a new version" };
    log("catalogue", "refused: " + last_reason_->message);
    return false;
  }
  if (comparison == version_comparison::older) {
    last_reason_ = error{ error_kind::stale,
                          name + " version " + std::to_string(version) + " is older than version " +
                            std::to_string(synchronizer.version()) + " in force" };
  }
  if (comparison == version_comparison::newer) {
    synchronizer.accept(version, digest);
    log("catalogue",
        name + " version " + std::to_string(version) + (from_platform ? " from the platform" : " from a peer"));
  }
  if (evidence) {
    confirm(synchronizer.record(), now);
  }
  return comparison == version_comparison::newer;
}

void
control_core::confirm(published_record record, instant now)
{
  if (record == published_record::catalogue) {
    authority_.confirm_catalogue(now);
    return;
  }
  authority_.confirm_list(now);
}

control_core::actions
control_core::on_catalogue(std::shared_ptr<const catalogue> value, bool from_platform, instant now)
{
  detect_pause(now);
  if (value && accept_record(catalogue_synchronizer_, value->version, value->digest, from_platform, now)) {
    adopt_catalogue(std::move(value), now);
    refresh(now);
  }
  return take_actions();
}

void
control_core::adopt_catalogue(std::shared_ptr<const catalogue> value, instant now)
{
  request_duration_limit_.on_catalogue(*value, now);
  catalogue_ = std::move(value);
  catalogue_adopted_ = now;
  std::vector<std::string> in_service;
  for (const failure_domain& domain : catalogue_->failure_domains) {
    if (domain.in_service) {
      in_service.push_back(domain.name);
    }
  }
  std::sort(in_service.begin(), in_service.end());
  const bool lapsed = key_authority_lapsed_ || (owning_keys_ && now >= std::min(spend_until_, keys_until_));
  // A daemon that has not settled yet may also have missed sets that the others have settled on.
  if (lapsed || !sets_.keys_settled()) {
    sets_.reset_domains();
  }
  if (lapsed) {
    log("shares",
        "discarded the settled key domains: other daemons may have changed them while this daemon had no authority");
  }
  key_authority_lapsed_ = false;
  if (sets_.adopt_domains(in_service, catalogue_->version, now)) {
    log("shares", "adopted the domains in service of catalogue " + std::to_string(catalogue_->version));
  }
}

control_core::actions
control_core::on_vm_list(std::shared_ptr<const vm_list> value, bool from_platform, instant now)
{
  detect_pause(now);
  if (value && accept_record(list_synchronizer_, value->version, value->digest, from_platform, now)) {
    adopt_list(std::move(value), now);
    refresh(now);
  }
  return take_actions();
}

void
control_core::adopt_list(std::shared_ptr<const vm_list> value, instant now)
{
  list_ = std::move(value);
  for (const entry_vm& vm : list_->entries) {
    addresses_[vm.id] = vm;
  }
  targets_.on_list(*list_, identity_.domain, now);
  log_targets();
  const bool lapsed = spending_authority_lapsed_ || (spending_ && now >= spend_until_);
  if (lapsed || !sets_.members_settled()) {
    sets_.reset_members();
    first_list_adopted_.reset();
    spend_from_.reset();
  }
  if (lapsed) {
    log("shares",
        "discarded the settled entry VMs: other daemons may have changed them while this daemon had no authority");
  }
  spending_authority_lapsed_ = false;
  if (sets_.adopt_members(listed_members(), list_->version, now)) {
    log("shares", "adopted the entry VMs of list " + std::to_string(list_->version));
    urgent_heartbeat_ = true;
  }
  if (!first_list_adopted_) {
    first_list_adopted_ = now;
  }
}

control_core::actions
control_core::on_platform_unchanged(published_record record, std::uint64_t version, instant now)
{
  detect_pause(now);
  record_synchronizer& synchronizer = synchronizer_for(record);
  if (synchronizer.on_platform_response(resumed_, now) && synchronizer.known() && version <= synchronizer.version()) {
    confirm(record, now);
  }
  return take_actions();
}

control_core::actions
control_core::on_read_failed(published_record record, const error& reason, instant now)
{
  detect_pause(now);
  synchronizer_for(record).on_read_failed(random_, now);
  last_reason_ = reason;
  log("catalogue", std::string("reading the ") + name_of(record) + " failed: " + reason.message);
  return take_actions();
}

control_core::actions
control_core::on_fetch_failed(published_record record, const vm_id& peer, const error& reason, instant now)
{
  detect_pause(now);
  synchronizer_for(record).on_fetch_failed(random_, now);
  last_reason_ = reason;
  log("catalogue", std::string("fetching the ") + name_of(record) + " from " + peer + " failed: " + reason.message);
  return take_actions();
}

control_core::actions
control_core::on_flows_pulled(const vm_id& peer, bool complete, instant now)
{
  detect_pause(now);
  pulls_.on_pulled(peer, complete, now);
  return take_actions();
}

control_core::actions
control_core::on_target_report(const vm_id& target, const target_report& report, bool shed, instant now)
{
  detect_pause(now);
  if (targets_.on_report(target, report, shed, warm_up_of(target), now)) {
    urgent_heartbeat_ = true;
    log_targets();
    refresh(now);
    send_urgent_heartbeat(now);
  }
  return take_actions();
}

duration
control_core::warm_up_of(const vm_id& target) const
{
  if (!list_ || !catalogue_) {
    return duration::zero();
  }
  const auto vm = std::find_if(
    list_->targets.begin(), list_->targets.end(), [&](const target_vm& entry) { return entry.id == target; });
  if (vm == list_->targets.end()) {
    return duration::zero();
  }
  const auto entry = std::find_if(catalogue_->services.begin(),
                                  catalogue_->services.end(),
                                  [&](const service& candidate) { return candidate.target_group == vm->target_group; });
  return entry == catalogue_->services.end() ? duration::zero() : seconds(entry->limits.warm_up_seconds);
}

void
control_core::on_capacity(std::vector<group_capacity> capacity)
{
  capacity_ = std::move(capacity);
}

control_core::actions
control_core::begin_leaving(instant now)
{
  detect_pause(now);
  if (state_ != daemon_state::leaving) {
    state_ = daemon_state::leaving;
    urgent_heartbeat_ = true;
    log("membership", "this daemon is leaving");
    refresh(now);
    send_urgent_heartbeat(now);
  }
  return take_actions();
}

control_core::actions
control_core::on_traffic_finished(instant now)
{
  detect_pause(now);
  if (!released_) {
    released_ = true;
    urgent_heartbeat_ = true;
    log("shares", "released all shares");
    refresh(now);
    send_urgent_heartbeat(now);
  }
  return take_actions();
}

record_synchronizer&
control_core::synchronizer_for(published_record record)
{
  return record == published_record::catalogue ? catalogue_synchronizer_ : list_synchronizer_;
}

std::shared_ptr<const routing_view>
control_core::view() const
{
  return publisher_.current();
}

bool
control_core::serving() const
{
  return state_ == daemon_state::serving;
}

std::optional<error>
control_core::last_reason() const
{
  return last_reason_;
}

void
control_core::add_action(control_action action)
{
  pending_actions_.push_back(std::move(action));
}

void
control_core::log(const char* part, std::string text)
{
  add_action(log_decision{ part, std::move(text) });
}

void
control_core::log_targets()
{
  for (std::string& text : targets_.take_decisions()) {
    log("target", std::move(text));
  }
}

control_core::actions
control_core::take_actions()
{
  return std::exchange(pending_actions_, {});
}

}
