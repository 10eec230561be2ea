#include "request_fleet.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

constexpr std::uint32_t slots_per_target = 3;
constexpr milliseconds request_timeout{ 1000 };
// key_authority_timeout plus the request time plus 10%: it covers both kinds of pending sets.
constexpr milliseconds hold_off{ 6600 };
constexpr milliseconds start_hold_off{ 3300 };
// A set is reported as adopted after the runs that started under the previous one have ended.
constexpr milliseconds max_run_duration{ 1200 };
const std::vector<std::string> domain_names{ "a", "b", "c" };

}

request_fleet::request_fleet(std::uint64_t seed, bool faults)
  : random_(seed)
  , faults_(faults)
  , catalogue_(std::make_shared<catalogue>())
  , vms_(std::make_shared<vm_list>())
{
  times_.key_retention = seconds(20);
  const target_limits limits{ slots_per_target, 10, 1, 1, 5 };
  const service_class classes[] = { service_class::urgent, service_class::normal, service_class::bulk };
  for (std::uint16_t index = 0; index < 3; ++index) {
    catalogue_->services.push_back({ "service-" + std::to_string(index),
                                     "owner",
                                     classes[index],
                                     { 10, static_cast<std::uint16_t>(index + 1) },
                                     index == 2 ? "second" : "first",
                                     limits,
                                     request_timeout.count(),
                                     20 });
  }
  lists_.emplace_back();
  for (const std::string& domain : domain_names) {
    const std::size_t count = domain == "c" ? 2 : 3;
    for (std::size_t index = 1; index <= count; ++index) {
      const vm_id id = domain + "-entry-" + std::to_string(index);
      lists_.back().entries[domain].push_back(id);
      nodes_[id].id = id;
      nodes_[id].domain = domain;
    }
    for (std::uint16_t index = 1; index <= 3; ++index) {
      const vm_id id = domain + "-target-" + std::to_string(index);
      const auto port = static_cast<std::uint16_t>(targets_.size() + 1);
      vms_->targets.push_back({ id, domain, false, index == 3 ? "second" : "first", { 20, port }, {}, 0 });
      targets_[id] = { id, domain, { 20, port }, slots_per_target, 1, target_condition::serving, true, {}, {} };
    }
  }
  for (auto& [id, node] : nodes_) {
    start_node(node, true);
    heartbeat_round(id);
  }
  advance(milliseconds(600));
}

void
request_fleet::post(duration delay, std::function<void()> work)
{
  events_.emplace(now_ + delay, std::move(work));
}

void
request_fleet::advance(duration time)
{
  const instant end = now_ + time;
  while (!events_.empty() && events_.begin()->first <= end) {
    now_ = std::max(now_, events_.begin()->first);
    const auto work = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    work();
  }
  now_ = end;
}

duration
request_fleet::random_time(duration low, duration high)
{
  return duration(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(random_));
}

bool
request_fleet::chance(double probability)
{
  return std::bernoulli_distribution(probability)(random_);
}

void
request_fleet::link(duration min_delay, duration max_delay, const std::function<void()>& deliver)
{
  if (faults_ && chance(0.02)) {
    return;
  }
  post(random_time(min_delay, max_delay), deliver);
}

bool
request_fleet::connected(const fleet_node& left, const fleet_node& right) const
{
  const bool cut =
    left.domain != right.domain && (cut_domains_.contains(left.domain) || cut_domains_.contains(right.domain));
  return !cut && !isolated_.contains(left.id) && !isolated_.contains(right.id);
}

entry_set
request_fleet::current_set(const fleet_node& node) const
{
  const list& known = lists_[node.list_version];
  entry_set set;
  set.members = known.entries.at(node.domain);
  for (const std::string& domain : domain_names) {
    if (!known.out.contains(domain)) {
      set.key_domains.push_back(domain);
    }
  }
  return set;
}

void
request_fleet::start_node(fleet_node& node, bool first)
{
  const vm_id id = node.id;
  const std::string domain = node.domain;
  node = {};
  node.id = id;
  node.domain = domain;
  node.boot_id = random_();
  node.list_version = lists_.size() - 1;
  node.settled = first;
  node.spend_from = first ? now_ : now_ + start_hold_off;
  node.sets = { { now_, current_set(node), node.list_version } };
  if (first) {
    node.ownership = { { now_ - seconds(100), node.sets.front().set } };
  }
  for (const auto& [target_id, target] : targets_) {
    target_view& seen = node.targets[target_id];
    seen.vm = { target_id, target.domain, false, target_id.back() == '3' ? "second" : "first", target.address, {}, 0 };
    seen.incarnation = first ? 1 : 0;
    seen.cold_since = first ? now_ - seconds(100) : now_;
  }
  node.counters = std::make_unique<traffic_counters>();
  node.router = std::make_unique<request_router>(times_, 1, *node.counters);
}

void
request_fleet::with_node(const vm_id& id, const std::function<void(fleet_node&, std::vector<traffic_action>&)>& work)
{
  fleet_node& node = nodes_[id];
  if (!node.up) {
    return;
  }
  if (now_ < node.paused_until) {
    // Packets wait in the socket until the process resumes.
    post(node.paused_until - now_, [this, id, work, boot = node.boot_id] {
      if (nodes_[id].boot_id == boot) {
        with_node(id, work);
      }
    });
    return;
  }
  std::vector<traffic_action> actions;
  work(node, actions);
  execute(node, actions);
}

void
request_fleet::heartbeat_round(const vm_id& id)
{
  post(milliseconds(250), [this, id] { heartbeat_round(id); });
  fleet_node& node = nodes_[id];
  if (!node.up || now_ < node.paused_until) {
    return;
  }
  const auto capacity = node.router->capacity(now_);
  const auto adopted = node.reported(now_, max_run_duration);
  for (const auto& entry : nodes_) {
    const vm_id peer_id = entry.first;
    if (peer_id == id) {
      continue;
    }
    link(milliseconds(1),
         milliseconds(40),
         [this, id, peer_id, capacity, adopted, seen = node.targets, version = node.list_version] {
           fleet_node& receiver = nodes_[peer_id];
           if (!receiver.up || now_ < receiver.paused_until || !connected(nodes_[id], receiver)) {
             return;
           }
           receiver.last_received[id] = now_;
           if (version <= receiver.list_version) {
             receiver.last_received_current[id] = now_;
           }
           receiver.peer_sets[id] = adopted.first;
           receiver.peer_versions[id] = adopted.second;
           receiver.peer_capacity[id] = capacity;
           for (const auto& [target, view] : seen) {
             if (view.incarnation > receiver.targets[target].incarnation) {
               receiver.targets[target].incarnation = view.incarnation;
               receiver.targets[target].cold_since = now_;
             }
           }
         });
  }
  with_node(id, [this](fleet_node& self, std::vector<traffic_action>& actions) {
    adopt(self);
    settle(self);
    publish(self, actions);
  });
}

void
request_fleet::adopt(fleet_node& node)
{
  // Daemons adopt a new list at different times.
  if (node.list_version + 1 == lists_.size() || chance(0.6)) {
    return;
  }
  const bool successive = node.list_version + 2 == lists_.size();
  node.list_version = lists_.size() - 1;
  entry_set set = current_set(node);
  if (!node.settled) {
    node.sets = { { now_, std::move(set), node.list_version } };
  } else if (set != node.sets.back().set) {
    const bool direct = successive && set.members == node.sets.back().set.members;
    node.sets.push_back({ now_, std::move(set), node.list_version, direct });
  }
}

void
request_fleet::settle(fleet_node& node)
{
  if (node.settled && node.sets.size() == 1) {
    return;
  }
  const bool all = std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
    return entry.first == node.id || node.released(entry.first, entry.second.domain, now_, hold_off);
  });
  if (!all) {
    return;
  }
  node.settled = true;
  const bool direct = node.sets.size() == 2 && node.sets.back().direct && !node.ownership.empty();
  node.sets = { node.sets.back() };
  node.ownership.push_back({ now_, node.sets.front().set, direct });
  ++event_counts["settled"];
}

instant
request_fleet::authority_until(const fleet_node& node) const
{
  const std::vector<vm_id>& members = lists_[node.list_version].entries.at(node.domain);
  std::vector<instant> times;
  for (const vm_id& member : members) {
    const auto received = node.last_received_current.find(member);
    times.push_back(member == node.id                              ? now_
                    : received == node.last_received_current.end() ? instant()
                                                                   : received->second);
  }
  std::sort(times.rbegin(), times.rend());
  return times[times.size() / 2] + times_.spend_authority_timeout;
}

instant
request_fleet::key_authority_until(const fleet_node& node) const
{
  instant until = now_ + times_.key_authority_timeout;
  const list& known = lists_[node.list_version];
  for (const auto& [domain, members] : known.entries) {
    if (domain == node.domain || known.out.contains(domain)) {
      continue;
    }
    instant last{};
    for (const vm_id& member : members) {
      const auto received = node.last_received_current.find(member);
      last = received == node.last_received_current.end() ? last : std::max(last, received->second);
    }
    until = std::min(until, last + times_.key_authority_timeout);
  }
  return until;
}

void
request_fleet::publish(fleet_node& node, std::vector<traffic_action>& actions)
{
  const list& known = lists_[node.list_version];
  auto view = std::make_shared<routing_view>();
  view->sequence = ++node.sequence;
  view->self = node.id;
  view->domain = node.domain;
  view->boot_id = node.boot_id;
  view->state = daemon_state::serving;
  view->services = catalogue_;
  view->vms = vms_;
  for (const auto& [domain, members] : known.entries) {
    domain_view& shown = view->domains[domain];
    shown.in_service = !known.out.contains(domain);
    for (const vm_id& id : members) {
      const auto received = node.last_received.find(id);
      const bool alive =
        id == node.id || (received != node.last_received.end() && now_ - received->second < seconds(1));
      shown.members.push_back(
        { { id, domain, false, {}, { 1, 1 }, {} }, alive, daemon_state::serving, node.peer_capacity[id] });
    }
  }
  view->targets = node.targets;
  if (node.settled) {
    for (const auto& set : node.sets) {
      view->spending_sets.push_back(set.set);
    }
  }
  view->spend_from = node.spend_from;
  view->spend_authority_until = authority_until(node);
  view->key_authority_until = key_authority_until(node);
  view->ownership = node.ownership;
  node.router->set_view(std::move(view), now_, actions);
}

void
request_fleet::execute(fleet_node& node, const std::vector<traffic_action>& actions)
{
  for (const traffic_action& action : actions) {
    if (const auto* sending = std::get_if<send_to_target>(&action)) {
      const auto found = std::find_if(
        targets_.begin(), targets_.end(), [&](const auto& entry) { return entry.second.address == sending->address; });
      const auto deliver = [this, daemon = node.id, target = found->first, content = sending->content] {
        packet_at_target(daemon, targets_[target], content);
      };
      link(milliseconds(1), milliseconds(20), deliver);
      if (chance(0.05)) {
        link(milliseconds(1), milliseconds(20), deliver);
      }
    } else if (const auto* to_caller = std::get_if<send_to_caller>(&action)) {
      packet_at_caller(to_caller->content);
    } else if (const auto* to_peer = std::get_if<send_to_peer>(&action)) {
      deliver_to_peer(node.id, *to_peer);
    } else if (const auto* report = std::get_if<report_target>(&action)) {
      apply_report(node, *report);
    }
  }
}

void
request_fleet::deliver_to_peer(const vm_id& from, const send_to_peer& action)
{
  const forwarded_packet& message = std::get<forwarded_packet>(action.message);
  const auto deliver = [this, from, to = action.peer, message] {
    if (!connected(nodes_[from], nodes_[to])) {
      return;
    }
    with_node(to, [this, from, message](fleet_node& node, std::vector<traffic_action>& actions) {
      node.router->on_forwarded(from, message, now_, actions);
    });
  };
  ++event_counts[std::holds_alternative<request_packet>(message.content) && message.purpose == forward_purpose::hand_off
                   ? "handed off to a peer"
                   : "other peer messages"];
  const bool slow = chance(0.05);
  link(milliseconds(1), slow ? milliseconds(500) : milliseconds(20), deliver);
  if (!chance(0.05)) {
    return;
  }
  std::visit(
    [this](const auto& content) {
      if constexpr (requires { content.request_id; }) {
        ++deliveries_[{ content.request_id, content.attempt }];
      }
    },
    message.content);
  link(milliseconds(1), milliseconds(900), deliver);
}

void
request_fleet::apply_report(fleet_node& node, const report_target& action)
{
  target_view& seen = node.targets[action.target];
  if (action.report.incarnation > seen.incarnation || action.shed) {
    seen.incarnation = std::max(seen.incarnation, action.report.incarnation);
    seen.cold_since = now_;
  }
  seen.leaving = action.report.condition == target_condition::leaving;
}

void
request_fleet::violation(const std::string& text)
{
  violations.push_back(text);
}

}
