#include "control_core.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

constexpr milliseconds min_urgent_heartbeat_interval{ 50 };
constexpr std::size_t target_statuses_per_heartbeat = 6;

}

control_core::actions
control_core::tick(instant now)
{
  detect_pause(now);
  refresh(now);
  log_liveness(now);
  send_urgent_heartbeat(now);
  send_heartbeats(now);
  read_records(now);
  pull_flow_records(now);
  poll_targets(now);
  peers_.remove_silent(sets_.all_members(), now);
  return take_actions();
}

void
control_core::refresh(instant now)
{
  if (!catalogue_ || !list_) {
    return;
  }
  if (!spend_from_) {
    // Runs of an earlier process of this VM may still be in progress, and a daemon that was removed from the list may
    // not have received it yet. The hold-off depends on the catalogue.
    spend_from_ = *first_list_adopted_ + hold_off(now);
  }
  settle_conditions conditions;
  conditions.now = now;
  conditions.resumed = resumed_;
  conditions.hold_off = hold_off(now);
  conditions.key_hold_off = key_hold_off(now);
  conditions.domain_version = domain_catalogue_version(now);
  for (std::string& text : sets_.settle(peers_, conditions)) {
    log("shares", std::move(text));
  }
  update_serving(now);
  update_authority(now);
  publish(now);
}

void
control_core::update_serving(instant now)
{
  if (state_ != daemon_state::starting) {
    return;
  }
  const bool platform_responded =
    catalogue_synchronizer_.platform_responded() && list_synchronizer_.platform_responded();
  if ((platform_responded && peer_responded_) || now >= started_ + times_.start_wait) {
    state_ = daemon_state::serving;
    log("membership",
        "serving with catalogue " + std::to_string(catalogue_->version) + " and list " +
          std::to_string(list_->version));
  }
}

void
control_core::update_authority(instant now)
{
  const bool spending_expired = now >= spend_until_;
  const bool keys_expired = spending_expired || now >= keys_until_;
  ownership_interrupted_ = ownership_interrupted_ || (keys_expired && owning_keys_);
  const instant members_until = authority_.spend_until(listed_members(), peers_, now).value_or(instant{});
  const instant domains_until = authority_.keys_until(other_domains(), peers_, now).value_or(instant{});
  spend_until_ = released_ ? instant{} : members_until;
  keys_until_ = sets_.keys_settled() && !released_ ? domains_until : instant{};
  // Peers can settle on sets without this daemon only after it has settled; before that it waits for the hold-off.
  const bool spending = now < spend_until_;
  spending_authority_lapsed_ =
    sets_.members_settled() && (spending_authority_lapsed_ || now >= members_until || (spending_ && spending_expired));
  if (spending != spending_) {
    spending_ = spending;
    log("shares", spending ? "gained spending authority" : "lost spending authority");
  }
  const bool owning = spending && now < keys_until_;
  const bool out_of_contact = now >= std::min(members_until, domains_until);
  key_authority_lapsed_ =
    sets_.keys_settled() && (key_authority_lapsed_ || out_of_contact || (owning_keys_ && keys_expired));
  if (owning != owning_keys_) {
    owning_keys_ = owning;
    log("shares", owning ? "gained key authority" : "lost key authority");
    ownership_interrupted_ = ownership_interrupted_ || !owning;
  }
  if (owning && ownership_interrupted_) {
    sets_.interrupt_ownership(now);
    ownership_interrupted_ = false;
  }
}

void
control_core::log_liveness(instant now)
{
  if (!list_) {
    return;
  }
  for (const entry_vm& vm : list_->entries) {
    const bool alive = peers_.alive(vm, identity_.domain, now);
    bool& logged = logged_alive_[vm.id];
    if (vm.id != identity_.self && alive != logged) {
      logged = alive;
      log("membership", vm.id + (alive ? " is alive" : " is suspect"));
    }
  }
}

void
control_core::publish(instant now)
{
  auto view = publisher_.publish_if_needed(build_view(now), now);
  if (view) {
    add_action(publish_view{ std::move(view) });
  }
}

routing_view
control_core::build_view(instant now) const
{
  routing_view view;
  view.self = identity_.self;
  view.domain = identity_.domain;
  view.boot_id = identity_.boot_id;
  view.state = state_;
  view.services = catalogue_;
  view.vms = list_;
  for (const failure_domain& domain : catalogue_->failure_domains) {
    view.domains[domain.name].in_service = domain.in_service;
  }
  for (const entry_vm& vm : list_->entries) {
    member_view member{ vm, vm.id == identity_.self || peers_.alive(vm, identity_.domain, now), state_, capacity_ };
    if (vm.id != identity_.self) {
      const peer_record* record = peers_.find(vm.id);
      member.state = record != nullptr ? record->last_heartbeat.state : daemon_state::serving;
      member.capacity = record != nullptr ? record->last_heartbeat.capacity : std::vector<group_capacity>{};
    }
    view.domains[vm.domain].members.push_back(std::move(member));
  }
  for (auto& [name, domain] : view.domains) {
    std::sort(domain.members.begin(), domain.members.end(), [](const member_view& left, const member_view& right) {
      return left.vm.id < right.vm.id;
    });
  }
  for (const target_vm& vm : list_->targets) {
    view.targets[vm.id] = targets_.view_of(vm);
  }
  if (!released_) {
    view.spending_sets = sets_.spending_sets();
  }
  view.spend_from = *spend_from_;
  view.spend_authority_until = spend_until_;
  view.key_authority_until = keys_until_;
  view.ownership = sets_.ownership(now);
  return view;
}

heartbeat
control_core::make_heartbeat(instant now) const
{
  heartbeat message;
  message.sender = identity_.self;
  message.domain = identity_.domain;
  message.boot_id = identity_.boot_id;
  message.state = state_;
  message.catalogue_version = catalogue_synchronizer_.version();
  message.catalogue_digest = catalogue_synchronizer_.digest();
  message.vm_list_version = list_synchronizer_.version();
  message.vm_list_digest = list_synchronizer_.digest();
  message.domain_catalogue_version = domain_catalogue_version(now);
  message.adopted_entry_set = sets_.reported_members_digest(request_duration_limit_.at(now) + times_.run_grace, now);
  message.released = released_;
  message.alive_members.push_back(identity_.self);
  for (const vm_id& member : listed_members()) {
    if (member != identity_.self && peers_.has_recent_heartbeat(member, now)) {
      message.alive_members.push_back(member);
    }
  }
  std::sort(message.alive_members.begin(), message.alive_members.end());
  message.capacity = capacity_;
  return message;
}

std::size_t
control_core::send_to(const entry_vm& peer, heartbeat message)
{
  message.sequence = ++sequence_;
  const std::size_t bytes = heartbeat_bytes(message);
  add_action(send_heartbeat{ peer.id, peer.peer_address, std::move(message) });
  return bytes;
}

void
control_core::send_heartbeats(instant now)
{
  if (!schedule_.due(now)) {
    return;
  }
  const heartbeat plain = make_heartbeat(now);
  heartbeat with_targets = plain;
  with_targets.targets = targets_.statuses(target_statuses_per_heartbeat, max_warm_up(), now);
  std::size_t bytes = 0;
  for (const entry_vm& peer : own_domain_peers()) {
    bytes += send_to(peer, with_targets);
  }
  if (list_ && schedule_.round_includes_other_domains()) {
    for (const entry_vm& peer : schedule_.contacts(list_->entries, peers_, now)) {
      bytes += send_to(peer, plain);
    }
  }
  schedule_.on_round_sent(bytes, now);
}

void
control_core::send_urgent_heartbeat(instant now)
{
  if (!urgent_heartbeat_ || now - last_urgent_heartbeat_ < min_urgent_heartbeat_interval) {
    return;
  }
  urgent_heartbeat_ = false;
  last_urgent_heartbeat_ = now;
  heartbeat message = make_heartbeat(now);
  message.targets = targets_.statuses(target_statuses_per_heartbeat, max_warm_up(), now);
  std::size_t bytes = 0;
  for (const entry_vm& peer : own_domain_peers()) {
    bytes += send_to(peer, message);
  }
  schedule_.on_extra_heartbeats_sent(bytes);
}

void
control_core::read_records(instant now)
{
  for (record_synchronizer* synchronizer : { &list_synchronizer_, &catalogue_synchronizer_ }) {
    auto read = synchronizer->next_read(read_reasons_for(synchronizer->record(), now), budget_, random_, now);
    if (read) {
      add_action(std::move(*read));
    }
    fetch_record(*synchronizer, now);
  }
}

read_reasons
control_core::read_reasons_for(published_record record, instant now) const
{
  read_reasons reasons;
  const std::vector<vm_id> chosen = platform_readers(now);
  reasons.reader = std::find(chosen.begin(), chosen.end(), identity_.self) != chosen.end();
  reasons.reader_silent = !reasons.reader && std::none_of(chosen.begin(), chosen.end(), [&](const vm_id& reader) {
    const peer_record* known = peers_.find(reader);
    return known != nullptr && now - known->last_received < times_.reader_silence;
  });
  const bool list = record == published_record::vm_list;
  const auto until = list ? authority_.majority_until(listed_members(), peers_, now)
                          : authority_.domains_until(other_domains(), peers_, now);
  const duration timeout = list ? times_.spend_authority_timeout : times_.key_authority_timeout;
  reasons.confirmation = !until || *until < now + timeout / 2;
  return reasons;
}

void
control_core::fetch_record(record_synchronizer& synchronizer, instant now)
{
  const std::optional<vm_id> peer = synchronizer.next_fetch(random_, now);
  if (!peer) {
    return;
  }
  const entry_vm* address = address_of(*peer);
  if (address == nullptr) {
    // The peer appears only in a newer list, so its address is unknown; another peer is tried next.
    synchronizer.on_fetch_failed(random_, now);
    return;
  }
  add_action(fetch_from_peer{ synchronizer.record(), *peer, address->call_address });
}

void
control_core::pull_flow_records(instant now)
{
  if (!spend_from_ || now >= *spend_from_) {
    return;
  }
  std::vector<vm_id> responsive;
  for (const entry_vm& peer : own_domain_peers()) {
    if (peers_.has_recent_heartbeat(peer.id, now)) {
      responsive.push_back(peer.id);
    }
  }
  while (const std::optional<vm_id> peer = pulls_.next(responsive, now)) {
    add_action(pull_flows{ *peer, address_of(*peer)->call_address });
  }
}

void
control_core::poll_targets(instant now)
{
  if (!list_) {
    return;
  }
  const std::vector<vm_id> live = live_members(now);
  for (const target_vm& vm : list_->targets) {
    if (vm.domain != identity_.domain || rendezvous_rank(hash_text("load of " + vm.id), live, identity_.self) != 0) {
      continue;
    }
    instant& next = next_poll_[vm.id];
    if (now >= next) {
      next = now + times_.target_poll_interval;
      add_action(poll_target_load{ vm.id, vm.load_address });
    }
  }
  std::erase_if(next_poll_, [&](const auto& entry) { return now - entry.second > times_.target_poll_interval; });
}

}
