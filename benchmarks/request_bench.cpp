#include "request_bench.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock::benchmark {

namespace {

constexpr endpoint urgent_service{ 0x0a000001, 443 };
constexpr endpoint bulk_service{ 0x0a000002, 443 };
constexpr milliseconds tick{ 50 };
constexpr milliseconds heartbeat{ 250 };
constexpr milliseconds caller_delay{ 3 };
constexpr std::chrono::microseconds same_domain_delay{ 200 };
constexpr std::chrono::microseconds other_domain_delay{ 3500 };
constexpr std::uint32_t slots = 2;
constexpr double mean_run_milliseconds = 30;
constexpr std::uint32_t caller_deadline_ms = 2000;

struct domain_size
{
  const char* name;
  std::uint16_t entries;
  std::uint16_t targets;
};

constexpr domain_size sizes[] = { { "a", 3, 4 }, { "b", 2, 4 }, { "c", 2, 3 }, { "d", 2, 3 } };

}

request_bench::request_bench(std::uint64_t seed, request_routing routing)
  : routing_(routing)
  , random_(seed)
{
  services_.version = 1;
  const target_limits limits{ slots, 2000, slots, 2000, 0 };
  services_.services = { { "status", "owner", service_class::urgent, urgent_service, "kiosk", limits, 1000, 256 },
                         { "reports", "owner", service_class::bulk, bulk_service, "kiosk", limits, 1000, 256 } };
  vms_.version = 1;
  std::uint16_t port = 1;
  for (const domain_size& size : sizes) {
    services_.failure_domains.push_back({ size.name, true });
    for (std::uint16_t index = 0; index < size.entries; ++index) {
      const vm_id id = std::string(size.name) + "-entry-" + std::to_string(index);
      vms_.entries.push_back({ id, size.name, false, { 1, port }, { 2, port }, { 3, port } });
      ++port;
    }
    for (std::uint16_t index = 0; index < size.targets; ++index) {
      const vm_id id = std::string(size.name) + "-target-" + std::to_string(index);
      vms_.targets.push_back({ id, size.name, false, "kiosk", { 4, port }, { 5, port }, 1 });
      targets_[id].vm = vms_.targets.back();
      result_.busy_seconds[id] = 0;
      ++port;
    }
  }
  for (const entry_vm& vm : vms_.entries) {
    daemons_.push_back({ vm.id, vm.domain, std::make_unique<traffic_engine>(timing{}, seed), nullptr });
    daemons_.back().services = std::make_shared<const catalogue>(services_);
  }
  next_tick_ = next_heartbeat_ = now_;
}

void
request_bench::after(duration delay, std::function<void()> work)
{
  events_.push({ now_ + delay, order_++, std::move(work) });
}

duration
request_bench::between(const std::string& one, const std::string& other) const
{
  return one == other ? same_domain_delay : other_domain_delay;
}

void
request_bench::publish(daemon& to)
{
  auto view = std::make_shared<routing_view>();
  view->sequence = ++view_sequence_;
  view->self = to.id;
  view->domain = to.domain;
  view->boot_id = hash_text(to.id);
  view->state = daemon_state::serving;
  view->services = to.services;
  view->vms = std::make_shared<const vm_list>(vms_);
  entry_set set;
  for (const failure_domain& domain : to.services->failure_domains) {
    view->domains[domain.name].in_service = domain.in_service;
    if (domain.in_service) {
      set.key_domains.push_back(domain.name);
    }
  }
  for (const daemon& peer : daemons_) {
    const auto vm = std::find_if(
      vms_.entries.begin(), vms_.entries.end(), [&](const entry_vm& entry) { return entry.id == peer.id; });
    view->domains[peer.domain].members.push_back({ *vm, true, daemon_state::serving, peer.engine->capacity(now_) });
    if (peer.domain == to.domain) {
      set.members.push_back(peer.id);
    }
  }
  for (const auto& [id, entry] : targets_) {
    view->targets[id] = { entry.vm, false, 1, now_ - std::chrono::hours(1) };
  }
  view->spending_sets = { set };
  view->ownership = { { now_ - std::chrono::hours(1), set, false } };
  view->spend_authority_until = view->key_authority_until = now_ + seconds(60);
  carry_out(to, to.engine->set_view(std::move(view), now_));
}

void
request_bench::advance(instant until)
{
  for (;;) {
    const bool event_first = !events_.empty() && events_.top().at <= next_tick_;
    const instant next = event_first ? events_.top().at : next_tick_;
    if (next > until) {
      now_ = until;
      return;
    }
    now_ = next;
    if (event_first) {
      const auto work = events_.top().work;
      events_.pop();
      work();
      continue;
    }
    const bool beat = now_ >= next_heartbeat_;
    for (daemon& each : daemons_) {
      if (beat) {
        publish(each);
      }
      carry_out(each, each.engine->tick(now_));
    }
    next_heartbeat_ = beat ? now_ + heartbeat : next_heartbeat_;
    next_tick_ = now_ + tick;
  }
}

void
request_bench::run(seconds time, double load, std::size_t capacity_domains, double urgent_part)
{
  std::size_t targets = 0;
  for (std::size_t index = 0; index < capacity_domains; ++index) {
    targets += sizes[std::size(sizes) - 1 - index].targets;
  }
  const double rate = load * static_cast<double>(targets) * slots / (mean_run_milliseconds / 1000);
  std::exponential_distribution<double> gap(rate);
  const instant end = now_ + time;
  for (;;) {
    const instant next = now_ + std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random_)));
    if (next > end) {
      break;
    }
    advance(next);
    send_request(urgent_part);
  }
  advance(end);
}

void
request_bench::send_request(double urgent_part)
{
  const bool urgent = std::uniform_real_distribution<double>(0, 1)(random_) < urgent_part;
  const std::uint64_t id = ++last_request_;
  const flow_key flow{ { 0x0b000000 + static_cast<std::uint32_t>(id % 100000), 1 },
                       urgent ? urgent_service : bulk_service };
  const request_packet value{ flow, id, 1, {}, 0, caller_deadline_ms, 0, "" };
  const service_class urgency = urgent ? service_class::urgent : service_class::bulk;
  daemon& entry = daemons_[random_() % daemons_.size()];
  pending_[id] = { now_, urgency, entry.domain };
  ++result_.sent[static_cast<std::size_t>(urgency)];
  after(caller_delay, [this, &entry, value] {
    if (routing_ == request_routing::plain) {
      arrive_plain(value);
    } else {
      carry_out(entry, entry.engine->on_caller_packet(value, now_));
    }
  });
}

void
request_bench::carry_out(daemon& from, const std::vector<traffic_action>& actions)
{
  for (const traffic_action& action : actions) {
    if (const auto* sent = std::get_if<send_to_target>(&action)) {
      for (auto& [id, entry] : targets_) {
        if (entry.vm.packet_address == sent->address) {
          const auto& run = std::get<request_packet>(sent->content);
          after(between(from.domain, entry.vm.domain), [this, &from, &at = entry, run] {
            arrive(at, from.domain, run, [this, &from, id = at.vm.id](const packet& reply) {
              carry_out(from, from.engine->on_target_packet(id, reply, now_));
            });
          });
        }
      }
    } else if (const auto* peer = std::get_if<send_to_peer>(&action)) {
      for (daemon& to : daemons_) {
        if (to.id == peer->peer) {
          after(between(from.domain, to.domain), [this, &from, &to, message = peer->message] {
            carry_out(to, to.engine->on_peer_message(from.id, message, now_));
          });
        }
      }
    } else if (const auto* answer = std::get_if<send_to_caller>(&action)) {
      after(caller_delay, [this, content = answer->content] { end(content); });
    }
  }
}

void
request_bench::arrive(target& at,
                      const std::string& from_domain,
                      const request_packet& run,
                      const std::function<void(const packet&)>& reply)
{
  ++result_.runs;
  const auto asked = pending_.find(run.request_id);
  if (asked != pending_.end() && asked->second.domain != at.vm.domain) {
    ++result_.across_domains;
  }
  const target_report report{ 1, target_condition::serving };
  if (at.running >= slots) {
    ++result_.shed;
    const refusal_packet refusal{
      run.flow, run.request_id, run.attempt, run.run_id, run_outcome::not_run, refusal_reason::overloaded, true, report
    };
    after(between(from_domain, at.vm.domain), [reply, refusal] { reply(refusal); });
    return;
  }
  ++at.running;
  const double time = std::uniform_real_distribution<double>(10, 2 * mean_run_milliseconds - 10)(random_);
  result_.busy_seconds[at.vm.id] += time / 1000;
  const answer_packet answer{ run.flow, run.request_id, run.attempt, run.run_id, 0, 1, report, "answer" };
  after(std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(time)),
        [this, &at, reply, answer, delay = between(from_domain, at.vm.domain)] {
          --at.running;
          after(delay, [reply, answer] { reply(answer); });
        });
}

void
request_bench::arrive_plain(const request_packet& value)
{
  std::vector<std::string> names;
  for (const failure_domain& domain : services_.failure_domains) {
    for (const target_vm& vm : vms_.targets) {
      if (domain.in_service && vm.domain == domain.name) {
        names.push_back(vm.id);
      }
    }
  }
  target& at = targets_.at(rendezvous_order(hash_of(value.flow), names).front());
  arrive(at, at.vm.domain, value, [this](const packet& reply) { after(caller_delay, [this, reply] { end(reply); }); });
}

void
request_bench::end(const packet& value)
{
  const auto* answer = std::get_if<answer_packet>(&value);
  const auto* refusal = std::get_if<refusal_packet>(&value);
  if (answer == nullptr && refusal == nullptr) {
    return;
  }
  const auto found = pending_.find(answer != nullptr ? answer->request_id : refusal->request_id);
  if (found == pending_.end()) {
    return;
  }
  if (answer != nullptr) {
    ++result_.answered[static_cast<std::size_t>(found->second.urgency)];
    if (found->second.urgency == service_class::urgent) {
      result_.urgent_milliseconds.push_back(
        std::chrono::duration<double, std::milli>(now_ - found->second.since).count());
    }
  }
  pending_.erase(found);
}

void
request_bench::set_in_service(const std::string& domain, bool in_service)
{
  ++services_.version;
  for (failure_domain& each : services_.failure_domains) {
    each.in_service = each.name == domain ? in_service : each.in_service;
  }
  const auto next = std::make_shared<const catalogue>(services_);
  for (daemon& each : daemons_) {
    after(milliseconds(random_() % 1000), [this, &each, next] {
      each.services = next;
      publish(each);
    });
  }
}

}
