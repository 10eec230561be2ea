#include "fake_fleet.h"

#include "coltsfootlock/coordination/invariant.h"
#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/coordination/share.h"
#include "heartbeat_schedule.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

constexpr milliseconds step_time{ 10 };
constexpr std::size_t socket_buffer = 20;

double
fraction(std::mt19937_64& random)
{
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}

fake_fleet::fake_fleet(std::uint64_t seed)
  : now(seconds(1000))
  , random(seed)
{
}

void
fake_fleet::add_node(const std::string& id, const std::string& domain)
{
  nodes[id].vm = { id, domain, false, {}, {}, {} };
  if (std::find(domains.begin(), domains.end(), domain) == domains.end()) {
    domains.push_back(domain);
  }
}

void
fake_fleet::start(const std::string& id, bool with_seeds)
{
  fake_node& node = nodes.at(id);
  node.boot_id = random() | 1U;
  control_identity identity{ id, node.vm.domain, node.boot_id, {} };
  for (const auto& [name, other] : nodes) {
    if (with_seeds) {
      identity.seeds.push_back(other.vm);
    }
  }
  node.engine.emplace(std::move(identity), times, now);
  node.inbox.clear();
  node.paused_until = now;
  node.last_fault = now;
  node.catalogue_version = 0;
  node.platform_calls.clear();
}

void
fake_fleet::stop(const std::string& id)
{
  fake_node& node = nodes.at(id);
  node.engine.reset();
  node.last_fault = now;
}

void
fake_fleet::pause(const std::string& id, duration span)
{
  nodes.at(id).paused_until = now + span;
}

void
fake_fleet::publish_list(const std::vector<std::string>& entries, const std::vector<target_vm>& targets)
{
  auto list = std::make_shared<vm_list>();
  list->version = lists_.size() + 1;
  list->digest = random();
  for (const std::string& id : entries) {
    list->entries.push_back(nodes.at(id).vm);
  }
  list->targets = targets;
  lists_.push_back({ now, std::move(list) });
}

void
fake_fleet::publish_catalogue(const std::vector<std::string>& out_of_service)
{
  auto value = std::make_shared<catalogue>();
  value->version = catalogues_.size() + 1;
  value->digest = random();
  for (const std::string& domain : domains) {
    const bool out = std::find(out_of_service.begin(), out_of_service.end(), domain) != out_of_service.end();
    value->failure_domains.push_back({ domain, !out });
  }
  service entry;
  entry.name = "shop";
  entry.target_group = "shop";
  entry.limits = limits;
  value->services.push_back(entry);
  catalogues_.push_back({ now, std::move(value) });
}

void
fake_fleet::report(const std::string& id, const vm_id& target, target_report value, bool shed)
{
  deliver(id, nodes.at(id).boot_id, [=, this](fake_node& node) {
    return node.engine->on_target_report(target, value, shed, now);
  });
}

void
fake_fleet::run(duration span)
{
  for (const instant end = now + span; now < end;) {
    step();
  }
}

void
fake_fleet::step()
{
  now += step_time;
  ++steps_;
  while (!events_.empty() && events_.begin()->first <= now) {
    const auto event = events_.extract(events_.begin());
    event.mapped()();
  }
  std::uint64_t offset = 0;
  for (auto& [id, node] : nodes) {
    if (!running(node)) {
      continue;
    }
    while (!node.inbox.empty()) {
      const auto event = std::move(node.inbox.front());
      node.inbox.pop_front();
      event();
    }
    if ((steps_ + offset++) % 5 == 0) {
      perform(node, node.engine->tick(now));
    }
  }
  if (after_step) {
    after_step();
  }
}

bool
fake_fleet::running(const fake_node& node) const
{
  return node.engine && now >= node.paused_until;
}

void
fake_fleet::at(instant time, std::function<void()> event)
{
  events_.emplace(time, std::move(event));
}

void
fake_fleet::deliver(const std::string& id,
                    std::uint64_t boot_id,
                    std::function<std::vector<control_action>(fake_node&)> input)
{
  fake_node& node = nodes.at(id);
  if (!node.engine || node.boot_id != boot_id) {
    return;
  }
  if (running(node)) {
    perform(node, input(node));
    return;
  }
  // A full socket buffer drops new messages, so the oldest ones are read after a pause.
  if (node.inbox.size() < socket_buffer) {
    node.inbox.emplace_back([this, id, boot_id, input = std::move(input)] { deliver(id, boot_id, input); });
  }
}

bool
fake_fleet::connected(const fake_node& left, const fake_node& right) const
{
  if (left.isolated || right.isolated) {
    return false;
  }
  return left.vm.domain == right.vm.domain ||
         (!isolated_domains.contains(left.vm.domain) && !isolated_domains.contains(right.vm.domain));
}

duration
fake_fleet::delay()
{
  return milliseconds(std::uniform_int_distribution<milliseconds::rep>(1, max_delay.count())(random));
}

void
fake_fleet::perform(fake_node& node, const std::vector<control_action>& actions)
{
  for (const control_action& action : actions) {
    if (const auto* sent = std::get_if<send_heartbeat>(&action)) {
      node.heartbeat_bytes += heartbeat_bytes(sent->message);
      transmit(node, *sent);
    } else if (const auto* read_action = std::get_if<read_platform>(&action)) {
      read(node, *read_action);
    } else if (const auto* fetch_action = std::get_if<fetch_from_peer>(&action)) {
      fetch(node, *fetch_action);
    } else if (const auto* pull = std::get_if<pull_flows>(&action)) {
      const bool reachable = running(nodes.at(pull->peer)) && connected(node, nodes.at(pull->peer));
      at(now + 2 * delay(), [this, id = node.vm.id, boot = node.boot_id, peer = pull->peer, reachable] {
        deliver(id, boot, [=, this](fake_node& requester) {
          return requester.engine->on_flows_pulled(peer, reachable, now);
        });
      });
    } else if (std::holds_alternative<publish_view>(action)) {
      ++node.views;
    }
  }
}

void
fake_fleet::transmit(const fake_node& from, const send_heartbeat& action)
{
  const auto to = nodes.find(action.to);
  if (to == nodes.end() || from.blocked_destinations.contains(to->second.vm.domain) || !connected(from, to->second)) {
    return;
  }
  const int copies = (fraction(random) < loss ? 0 : 1) + (fraction(random) < duplication ? 1 : 0);
  for (int copy = 0; copy < copies; ++copy) {
    at(now + delay(), [this, id = action.to, message = action.message] {
      deliver(id, nodes.at(id).boot_id, [=, this](fake_node& node) { return node.engine->on_heartbeat(message, now); });
    });
  }
}

void
fake_fleet::fetch(const fake_node& node, const fetch_from_peer& action)
{
  const auto peer = nodes.find(action.peer);
  const auto record = action.record;
  const bool reachable = peer != nodes.end() && !node.blocked_destinations.contains(peer->second.vm.domain) &&
                         running(peer->second) && connected(node, peer->second);
  const auto held = reachable ? peer->second.engine->view() : nullptr;
  at(now + (held ? 2 * delay() : duration(seconds(1))),
     [this, id = node.vm.id, boot = node.boot_id, record, held, from = action.peer] {
       deliver(id, boot, [=, this](fake_node& requester) {
         if (!held) {
           return requester.engine->on_fetch_failed(record, from, { error_kind::unavailable, "no answer" }, now);
         }
         return record == published_record::catalogue ? requester.engine->on_catalogue(held->services, false, now)
                                                      : requester.engine->on_vm_list(held->vms, false, now);
       });
     });
}

void
fake_fleet::read(fake_node& node, const read_platform& action)
{
  node.platform_calls.push_back(now);
  while (now - node.platform_calls.front() >= seconds(1)) {
    node.platform_calls.pop_front();
  }
  check_invariant(node.platform_calls.size() <= 2, "platform_budget", node.vm.id);
  if (!node.platform_hangs) {
    complete_read(node.vm.id, node.boot_id, action, now + action.wait);
  }
}

template<class Record>
std::shared_ptr<const Record>
fake_fleet::visible(const std::vector<published_version<Record>>& history, const fake_node& node) const
{
  std::shared_ptr<const Record> value;
  for (const auto& entry : history) {
    const bool frozen = platform_frozen && entry.at > *platform_frozen;
    if (entry.at + node.platform_lag <= now && !frozen) {
      value = entry.value;
    }
  }
  return value;
}

void
fake_fleet::complete_read(const std::string& id, std::uint64_t boot_id, const read_platform& action, instant deadline)
{
  const fake_node& node = nodes.at(id);
  const auto record = action.record;
  if (platform_down || !node.platform_reachable) {
    at(now + milliseconds(300), [this, id, boot_id, record] {
      deliver(id, boot_id, [=, this](fake_node& reader) {
        return reader.engine->on_read_failed(record, { error_kind::unavailable, "no answer" }, now);
      });
    });
    return;
  }
  const auto services = visible(catalogues_, node);
  const auto list = visible(lists_, node);
  const std::uint64_t version =
    record == published_record::catalogue ? (services ? services->version : 0) : (list ? list->version : 0);
  if (version <= action.after && now < deadline) {
    at(now + milliseconds(20), [=, this] { complete_read(id, boot_id, action, deadline); });
    return;
  }
  at(now + delay(), [=, this] {
    deliver(id, boot_id, [=, this](fake_node& reader) {
      if (version <= action.after) {
        return reader.engine->on_platform_unchanged(record, version, now);
      }
      return record == published_record::catalogue ? reader.engine->on_catalogue(services, true, now)
                                                   : reader.engine->on_vm_list(list, true, now);
    });
  });
}

std::shared_ptr<const routing_view>
fake_fleet::view(const std::string& id) const
{
  const fake_node& node = nodes.at(id);
  return node.engine ? node.engine->view() : nullptr;
}

target_share
fake_fleet::share(const std::string& id, const vm_id& target) const
{
  const auto current = view(id);
  if (!current || !may_spend(*current, now) || !current->targets.contains(target)) {
    return {};
  }
  const target_share allowance = allowance_at(limits, current->targets.at(target).cold_since, now);
  return share_of(allowance, current->spending_sets, id, target);
}

bool
fake_fleet::spends(const std::string& id) const
{
  const auto current = view(id);
  return current && may_spend(*current, now);
}

bool
fake_fleet::owns(const std::string& id, const std::string& key) const
{
  const auto current = view(id);
  if (!current || !may_accept_keys(*current, now)) {
    return false;
  }
  return std::all_of(current->spending_sets.begin(), current->spending_sets.end(), [&](const entry_set& set) {
    return !set.key_domains.empty() && rendezvous_order(hash_text(key), set.key_domains).front() == current->domain &&
           rendezvous_rank(hash_text(key), set.members, id) == 0;
  });
}

}
