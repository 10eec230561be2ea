#include "flow_fleet.h"

#include "coltsfootlock/coordination/invariant.h"
#include "coltsfootlock/coordination/rendezvous.h"
#include "flow_order.h"

#include <algorithm>

namespace coltsfootlock::testing {

namespace {
constexpr milliseconds tick{ 50 };
constexpr milliseconds hold_off{ 4400 };
const endpoint main_service{ 0x0a090001, 80 };
const endpoint second_service{ 0x0a090002, 80 };

}

flow_fleet::flow_fleet(fleet_options chosen)
  : options(chosen)
  , generator_(chosen.seed)
{
  catalogue entries;
  vm_list list;
  entries.version = list.version = 1;
  std::uint16_t port = 1;
  for (std::size_t place = 0; place < options.domains; ++place) {
    const std::string domain(1, static_cast<char>('a' + place));
    entries.failure_domains.push_back({ domain, true });
    for (std::size_t index = 0; index < options.daemons; ++index) {
      const vm_id id = domain + "-entry-" + std::to_string(index);
      list.entries.push_back({ id, domain, false, {}, { 0x7f000001, port++ }, {} });
    }
    for (const char* group : { "main", "second" }) {
      for (std::size_t index = 0; index < options.targets; ++index) {
        const vm_id id = domain + "-" + group + "-" + std::to_string(index);
        list.targets.push_back({ id, domain, false, group, { 0x7f000002, port++ }, {}, 1 });
        targets[id].vm = list.targets.back();
      }
    }
  }
  const target_limits limits{ 4, options.connections, 4, options.connections, 0 };
  entries.services.push_back({ "main", "owner", service_class::urgent, main_service, "main", limits });
  entries.services.push_back({ "second", "owner", service_class::normal, second_service, "second", limits });
  services = std::make_shared<const catalogue>(std::move(entries));
  vms = std::make_shared<const vm_list>(std::move(list));
  for (const entry_vm& vm : vms->entries) {
    daemon added;
    added.id = vm.id;
    added.domain = vm.domain;
    added.services = services;
    added.vms = vms;
    added.counters = std::make_unique<traffic_counters>();
    added.router = std::make_unique<flow_router>(options.times, *added.counters);
    daemons.push_back(std::move(added));
  }
  for (daemon& each : daemons) {
    refresh(each);
  }
  run_for(seconds(3));
}

std::uint64_t
flow_fleet::random(std::uint64_t limit)
{
  return generator_() % limit;
}

flow_key
flow_fleet::flow(std::uint16_t number, bool second) const
{
  return { { 0x0a000001, number }, second ? second_service : main_service };
}

void
flow_fleet::after(duration delay, std::function<void()> run)
{
  events_.push({ now + delay, order_++, std::move(run) });
}

bool
flow_fleet::is_partitioned(const std::string& one, const std::string& other) const
{
  return partitions_.contains({ one, other }) || partitions_.contains({ other, one });
}

// An empty name stands for the callers.
void
flow_fleet::send_over_link(const std::string& from, const std::string& to, const std::function<void()>& run)
{
  const auto chance = [this] { return static_cast<double>(random(1000000)) / 1e6; };
  if (is_partitioned(from, to) || chance() < options.loss) {
    return;
  }
  const milliseconds base{ from == to ? 1 : 4 };
  const int copies = chance() < options.duplicates ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const milliseconds extra{ options.jitter.count() > 0 ? random(options.jitter.count()) : 0 };
    after(base + extra, run);
  }
}

void
flow_fleet::run_for(milliseconds time)
{
  const instant end = now + time;
  if (next_tick_ == instant{}) {
    next_tick_ = now;
  }
  for (;;) {
    const bool event_first = !events_.empty() && events_.top().at <= next_tick_;
    const instant next = event_first ? events_.top().at : next_tick_;
    if (next > end) {
      now = end;
      return;
    }
    now = std::max(now, next);
    if (event_first) {
      const auto run = events_.top().run;
      events_.pop();
      run();
      continue;
    }
    for (daemon& each : daemons) {
      if (each.up) {
        refresh(each);
        std::vector<traffic_action> actions;
        each.router->tick(now, actions);
        execute_actions(each, actions);
      }
    }
    next_tick_ += tick;
  }
}

std::shared_ptr<const routing_view>
flow_fleet::view_for(const daemon& to) const
{
  auto view = std::make_shared<routing_view>();
  view->sequence = to.view == nullptr ? 1 : to.view->sequence + 1;
  view->self = to.id;
  view->domain = to.domain;
  view->state = to.starting ? daemon_state::starting : daemon_state::serving;
  view->services = to.services;
  view->vms = to.vms;
  for (const failure_domain& domain : to.services->failure_domains) {
    view->domains[domain.name].in_service = domain.in_service;
  }
  entry_set set;
  for (const entry_vm& vm : to.vms->entries) {
    view->domains[vm.domain].members.push_back({ vm, !to.suspected_peers.contains(vm.id), daemon_state::serving, {} });
    if (vm.domain == to.domain) {
      set.members.push_back(vm.id);
    }
  }
  for (const target_vm& vm : to.vms->targets) {
    view->targets[vm.id] = { vm, vm.leaving, vm.incarnation, {} };
  }
  view->spending_sets = { set };
  view->spend_from = to.spend_from;
  view->spend_authority_until = to.authority ? now + seconds(2) : instant{};
  if (to.view != nullptr) {
    const bool changed = to.view->services != to.services || to.view->vms != to.vms;
    view->previous = changed ? to.view : to.view->previous;
    view->order_changed = changed ? now : to.view->order_changed;
    if (view->previous != nullptr && now >= view->order_changed + options.times.order_retention) {
      view->previous = nullptr;
    }
  }
  return view;
}

void
flow_fleet::refresh(daemon& to)
{
  to.view = view_for(to);
  std::vector<traffic_action> actions;
  to.router->set_view(to.view, now, actions);
  execute_actions(to, actions);
}

void
flow_fleet::execute_actions(daemon& from, const std::vector<traffic_action>& actions)
{
  for (const traffic_action& action : actions) {
    execute_action(from, action);
  }
}

void
flow_fleet::execute_action(daemon& from, const traffic_action& action)
{
  if (const auto* out = std::get_if<send_to_caller>(&action)) {
    send_over_link(from.domain, "", [this, content = out->content] { arrive_at_caller(content); });
  } else if (const auto* sent = std::get_if<send_to_target>(&action)) {
    for (auto& entry : targets) {
      target& receiver = entry.second;
      if (receiver.vm.packet_address == sent->address) {
        receiver.paths.push_back(sent->path);
        send_over_link(from.domain, receiver.vm.domain, [this, &receiver, &from, content = sent->content] {
          arrive_at_target(receiver, from, content);
        });
      }
    }
  } else if (const auto* passed = std::get_if<send_to_peer>(&action)) {
    if (filter && !filter(from, passed->peer, passed->message)) {
      return;
    }
    daemon& to = by_id(passed->peer);
    send_over_link(from.domain, to.domain, [this, &to, sender = from.id, message = passed->message] {
      if (!to.up) {
        return;
      }
      std::vector<traffic_action> actions;
      if (const auto* hints = std::get_if<route_hints>(&message)) {
        to.router->on_hints(sender, *hints, now, actions);
      } else if (const auto* forwarded = std::get_if<forwarded_packet>(&message)) {
        to.router->on_forwarded(sender, *forwarded, now, actions);
      }
      execute_actions(to, actions);
    });
  }
}

void
flow_fleet::arrive_at_target(target& receiver, daemon& from, const packet& content)
{
  const flow_key& key = flow_of(content);
  const bool own_group = key.service == (receiver.vm.target_group == "main" ? main_service : second_service);
  check_invariant(own_group, "test-group", "a target got a packet of another service");
  if (!receiver.up) {
    return;
  }
  ++receiver.packets;
  receiver.seen.insert(key);
  const target_report report{ receiver.vm.incarnation, target_condition::serving };
  packet reply = data_packet{ key, false, report, "answer" };
  if (std::holds_alternative<open_packet>(content)) {
    receiver.flows.insert(key);
    reply = opened_packet{ key, report };
  } else if (std::holds_alternative<close_packet>(content)) {
    receiver.flows.erase(key);
    return;
  } else if (!receiver.flows.contains(key)) {
    reply = reset_packet{ key, reset_reason::unknown_flow, report };
  }
  if (receiver.unresponsive) {
    return;
  }
  send_over_link(receiver.vm.domain, from.domain, [this, &from, id = receiver.vm.id, reply] {
    if (from.up) {
      std::vector<traffic_action> actions;
      from.router->on_target_packet(id, reply, now, actions);
      execute_actions(from, actions);
    }
  });
}

void
flow_fleet::arrive_at_caller(const packet& content)
{
  caller_flow& state = callers[flow_of(content)];
  if (const auto* reset = std::get_if<reset_packet>(&content)) {
    state.resets.push_back(reset->reason);
  } else if (std::holds_alternative<opened_packet>(content)) {
    state.opened = true;
  } else {
    ++state.answers;
  }
}

void
flow_fleet::send(const packet& content, const vm_id& entry)
{
  daemon& to = by_id(entry);
  send_over_link("", to.domain, [this, &to, content] {
    if (to.up) {
      std::vector<traffic_action> actions;
      to.router->on_caller_packet(content, now, actions);
      execute_actions(to, actions);
    }
  });
}

void
flow_fleet::send_anywhere(const packet& content)
{
  send(content, daemons[random(daemons.size())].id);
}

// Updates which daemons suspect the daemon `of`, after a random delay for each daemon.
void
flow_fleet::update_liveness(const vm_id& of)
{
  for (daemon& each : daemons) {
    const milliseconds delay{ random(options.max_update_delay.count() + 1) };
    after(options.times.suspect_after + delay, [this, &each, of] {
      const daemon& subject = by_id(of);
      if (each.id != of && (!subject.up || is_partitioned(each.domain, subject.domain))) {
        each.suspected_peers.insert(of);
      } else {
        each.suspected_peers.erase(of);
      }
    });
  }
}

void
flow_fleet::kill(const vm_id& id)
{
  by_id(id).up = false;
  update_liveness(id);
}

void
flow_fleet::restart(const vm_id& id)
{
  daemon& each = by_id(id);
  each.up = true;
  each.starting = true;
  each.suspected_peers.clear();
  each.services = services;
  each.vms = vms;
  each.view = nullptr;
  each.spend_from = now + hold_off;
  each.counters = std::make_unique<traffic_counters>();
  each.router = std::make_unique<flow_router>(options.times, *each.counters);
  refresh(each);
  update_liveness(id);
  after(milliseconds(300), [this, &each] { pull_records(each); });
}

void
flow_fleet::pull_records(daemon& puller)
{
  for (const daemon& peer : daemons) {
    if (peer.domain != puller.domain || !peer.up || peer.id == puller.id) {
      continue;
    }
    std::size_t cursor = 0;
    do {
      puller.router->adopt(peer.router->records_for(puller.id, cursor, 16, cursor), now);
    } while (cursor != 0);
  }
  puller.starting = false;
}

void
flow_fleet::set_partitioned(const std::string& one, const std::string& other, bool partitioned)
{
  if (partitioned) {
    partitions_.insert({ one, other });
  } else {
    partitions_.erase({ one, other });
    partitions_.erase({ other, one });
  }
  for (const daemon& each : daemons) {
    if (each.domain == one || each.domain == other) {
      update_liveness(each.id);
    }
  }
}

void
flow_fleet::publish(catalogue next)
{
  services = std::make_shared<const catalogue>(std::move(next));
  publish_to_all();
}

void
flow_fleet::publish(vm_list next)
{
  vms = std::make_shared<const vm_list>(std::move(next));
  publish_to_all();
}

// Publishes the lists to each daemon after a random delay.
void
flow_fleet::publish_to_all()
{
  for (daemon& each : daemons) {
    after(milliseconds(random(options.max_update_delay.count() + 1)), [this, &each] { publish_now(each); });
  }
}

void
flow_fleet::publish_now(daemon& to)
{
  to.services = services;
  to.vms = vms;
  if (to.up) {
    refresh(to);
  }
}

void
flow_fleet::set_in_service(const std::string& domain, bool in_service)
{
  catalogue next = *services;
  for (failure_domain& each : next.failure_domains) {
    each.in_service = each.name == domain ? in_service : each.in_service;
  }
  publish(std::move(next));
}

flow_fleet::target*
flow_fleet::target_of(const flow_key& key)
{
  const auto found =
    std::find_if(targets.begin(), targets.end(), [&key](const auto& each) { return each.second.flows.contains(key); });
  return found == targets.end() ? nullptr : &found->second;
}

std::size_t
flow_fleet::targets_that_saw(const flow_key& key) const
{
  return static_cast<std::size_t>(
    std::count_if(targets.begin(), targets.end(), [&key](const auto& each) { return each.second.seen.contains(key); }));
}

flow_fleet::daemon&
flow_fleet::by_id(const vm_id& id)
{
  return *std::find_if(daemons.begin(), daemons.end(), [&id](const daemon& each) { return each.id == id; });
}

flow_fleet::daemon&
flow_fleet::ranked(const flow_key& key, const std::string& domain, std::size_t rank)
{
  std::vector<std::string> members;
  for (const daemon& each : daemons) {
    if (each.domain == domain && each.up) {
      members.push_back(each.id);
    }
  }
  return by_id(rendezvous_order(hash_of(key), members)[rank]);
}

std::string
flow_fleet::home_domain(const flow_key& key) const
{
  name_registry names;
  const auto view = view_for(daemons.front());
  const flow_order order(*view, names);
  return names.name(order.first_domain(names.find(key.service == main_service ? "main" : "second"), hash_of(key)));
}

std::uint64_t
flow_fleet::total(std::uint64_t traffic_counters::*counter) const
{
  std::uint64_t sum = 0;
  for (const daemon& each : daemons) {
    sum += *each.counters.*counter;
  }
  return sum;
}

}
