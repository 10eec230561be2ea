#include "request_fleet.h"

#include <algorithm>

namespace coltsfootlock {

void
request_fleet::packet_at_target(const vm_id& daemon, fake_target& target, const packet& value)
{
  if (!target.up) {
    return;
  }
  target.drop_expired(now_);
  if (const auto* request = std::get_if<request_packet>(&value)) {
    start_run(daemon, target, *request);
    return;
  }
  const auto* cancel = std::get_if<cancel_packet>(&value);
  const auto active = target.active.find(cancel->run_id);
  if (active == target.active.end()) {
    return;
  }
  const request_packet run = active->second.request;
  target.active.erase(active);
  from_target(daemon,
              target,
              refusal_packet{ run.flow,
                              run.request_id,
                              run.attempt,
                              run.run_id,
                              run_outcome::may_have_run,
                              refusal_reason::cancelled,
                              false,
                              {} });
}

void
request_fleet::start_run(const vm_id& daemon, fake_target& target, const request_packet& value)
{
  if (!target.known_run_ids.insert(value.run_id).second) {
    return;
  }
  if (chance(0.03) || target.condition == target_condition::leaving) {
    const bool leaving = target.condition == target_condition::leaving;
    from_target(daemon,
                target,
                refusal_packet{ value.flow,
                                value.request_id,
                                value.attempt,
                                value.run_id,
                                run_outcome::not_run,
                                leaving ? refusal_reason::leaving : refusal_reason::overloaded,
                                false,
                                {} });
    ++event_counts["refused by a target"];
    return;
  }
  const std::string& key = value.idempotency_key;
  if (!key.empty() && ++runs_of_key_[key] > 1) {
    violation("key " + key + " ran twice");
  }
  if (keys_refused_as_not_run_.contains(key)) {
    violation("key " + key + " ran after it was refused as not run");
  }
  target.active[value.run_id] = { value, now_ + milliseconds(value.deadline_ms) };
  if (target.active.size() > target.slots) {
    violation(target.id + " runs " + std::to_string(target.active.size()) + " requests");
  }
  ++event_counts["run"];
  const duration time =
    chance(0.05) ? random_time(milliseconds(500), milliseconds(1500)) : random_time(milliseconds(5), milliseconds(150));
  post(time, [this, daemon, id = target.id, run = value.run_id, incarnation = target.incarnation] {
    finish_run(daemon, id, run, incarnation);
  });
}

void
request_fleet::finish_run(const vm_id& daemon, const vm_id& target_id, std::uint64_t run, std::uint64_t incarnation)
{
  fake_target& target = targets_[target_id];
  target.drop_expired(now_);
  const auto found = target.active.find(run);
  if (!target.up || target.incarnation != incarnation || found == target.active.end()) {
    return;
  }
  const request_packet value = found->second.request;
  target.active.erase(found);
  const auto count = static_cast<std::uint16_t>(1 + random_() % 3);
  for (std::uint16_t segment = 0; segment < count; ++segment) {
    const std::string payload = std::to_string(run) + "/" + value.payload;
    from_target(
      daemon, target, answer_packet{ value.flow, value.request_id, value.attempt, run, segment, count, {}, payload });
  }
}

void
request_fleet::from_target(const vm_id& daemon, const fake_target& target, packet value)
{
  const target_report report{ target.incarnation, target.condition };
  std::visit(
    [&](auto& content) {
      if constexpr (requires { content.report; }) {
        content.report = report;
      }
    },
    value);
  const auto deliver = [this, daemon, id = target.id, value] {
    with_node(daemon, [this, id, value](fleet_node& node, std::vector<traffic_action>& actions) {
      node.router->on_target_packet(id, value, now_, actions);
    });
  };
  link(milliseconds(1), milliseconds(20), deliver);
  if (chance(0.05)) {
    link(milliseconds(1), milliseconds(3000), deliver);
  }
}

void
request_fleet::send_request(const request_packet& value)
{
  const vm_id node = any_of(nodes_).first;
  const auto deliver = [this, node, value] {
    with_node(node, [this, value](fleet_node& entry, std::vector<traffic_action>& actions) {
      ++deliveries_[{ value.request_id, value.attempt }];
      entry.router->on_caller_packet(value, now_, actions);
    });
  };
  link(milliseconds(1), chance(0.05) ? milliseconds(800) : milliseconds(30), deliver);
  if (chance(0.05)) {
    link(milliseconds(1), milliseconds(500), deliver);
  }
}

void
request_fleet::new_request()
{
  request_packet value;
  value.flow.caller = { 30, static_cast<std::uint16_t>(1 + random_() % 20) };
  value.flow.service = any_of(catalogue_->services).address;
  value.request_id = sent_requests_.size() + 1;
  value.payload = "request-" + std::to_string(value.request_id);
  value.idempotency_key = chance(0.5) ? "key-" + std::to_string(value.request_id) : "";
  value.deadline_ms = static_cast<std::uint32_t>(50 + random_() % 2500);
  sent_requests_.push_back({ value, now_ });
  send_request(value);
}

void
request_fleet::repeat_request()
{
  const std::size_t back = std::min<std::size_t>(sent_requests_.size(), chance(0.1) ? 3000 : 40);
  sent_request& known = sent_requests_[sent_requests_.size() - 1 - random_() % back];
  ++known.packet.attempt;
  known.packet.age_ms =
    static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now_ - known.first_sent).count());
  send_request(known.packet);
}

void
request_fleet::cancel_request()
{
  const std::size_t back = std::min<std::size_t>(sent_requests_.size(), 10);
  const request_packet& known = sent_requests_[sent_requests_.size() - 1 - random_() % back].packet;
  const cancel_packet value{ known.flow, known.request_id, known.attempt, known.idempotency_key, 0 };
  ++event_counts["cancelled"];
  const vm_id node = any_of(nodes_).first;
  link(milliseconds(1), milliseconds(100), [this, node, value] {
    with_node(node, [this, value](fleet_node& entry, std::vector<traffic_action>& actions) {
      ++deliveries_[{ value.request_id, value.attempt }];
      entry.router->on_caller_packet(value, now_, actions);
    });
  });
}

void
request_fleet::packet_at_caller(const packet& value)
{
  if (const auto* answer = std::get_if<answer_packet>(&value)) {
    answer_at_caller(*answer);
    return;
  }
  const auto& refusal = std::get<refusal_packet>(value);
  ++outcomes_[{ refusal.request_id, refusal.attempt }];
  const sent_request& known = sent_requests_.at(refusal.request_id - 1);
  ++event_counts[std::string("refused ") + to_string(refusal.reason) + " " + to_string(refusal.outcome)];
  if (refusal.flow != known.packet.flow || refusal.attempt > known.packet.attempt) {
    violation("refusal of a request that was never sent");
  }
  if (refusal.outcome == run_outcome::not_run) {
    keys_refused_as_not_run_.insert(known.packet.idempotency_key);
    if (known.packet.idempotency_key.empty() || runs_of_key_.contains(known.packet.idempotency_key)) {
      violation("false not_run for request " + std::to_string(refusal.request_id));
    }
  }
}

void
request_fleet::answer_at_caller(const answer_packet& value)
{
  const sent_request& known = sent_requests_.at(value.request_id - 1);
  const std::string& payload = value.payload;
  const bool own = payload.substr(payload.find('/') + 1) == known.packet.payload;
  if (!own || value.flow != known.packet.flow || value.segment != partial_answer_.size()) {
    violation("wrong answer to request " + std::to_string(value.request_id));
  }
  partial_answer_.push_back(payload);
  if (partial_answer_.front() != payload) {
    violation("answers of two runs mixed for request " + std::to_string(value.request_id));
  }
  if (partial_answer_.size() == value.segment_count) {
    partial_answer_.clear();
    ++outcomes_[{ value.request_id, value.attempt }];
    ++event_counts["answered"];
  }
}

void
request_fleet::change_list()
{
  list next = lists_.back();
  const std::string domain = any_of(next.entries).first;
  if (chance(0.4)) {
    if (next.out.erase(domain) == 0 && next.out.empty()) {
      next.out.insert(domain);
    }
  } else {
    std::vector<vm_id>& members = next.entries[domain];
    std::vector<vm_id> all;
    for (const auto& [id, node] : nodes_) {
      if (node.domain == domain) {
        all.push_back(id);
      }
    }
    if (members.size() < all.size()) {
      members = all;
    } else {
      members.erase(members.begin() + static_cast<std::ptrdiff_t>(random_() % members.size()));
    }
  }
  lists_.push_back(std::move(next));
  ++event_counts["list change"];
}

void
request_fleet::inject_fault()
{
  fake_target& target = any_of(targets_).second;
  fleet_node& node = any_of(nodes_).second;
  switch (random_() % (faults_ ? 8 : 3)) {
    case 0:
      change_list();
      return;
    case 1:
      node.paused_until =
        std::max(node.paused_until, now_ + random_time(milliseconds(50), seconds(chance(0.3) ? 12 : 2)));
      return;
    case 2: // The target restarts and loses its runs.
      target.active.clear();
      target.up = true;
      target.condition = target_condition::serving;
      ++target.incarnation;
      return;
    case 3:
      target.up = false;
      target.active.clear();
      return;
    case 4:
      target.condition = target_condition::leaving;
      return;
    case 5:
      if (isolated_.empty()) {
        isolated_.insert(node.id);
      } else {
        isolated_.clear();
      }
      return;
    case 6:
      if (cut_domains_.empty()) {
        cut_domains_.insert(node.domain);
      } else {
        cut_domains_.clear();
      }
      return;
    default:
      node.up = false;
      post(random_time(milliseconds(100), seconds(8)), [this, id = node.id] { start_node(nodes_[id], false); });
  }
}

void
request_fleet::run(std::size_t steps)
{
  for (std::size_t step = 0; step < steps; ++step) {
    advance(random_time(milliseconds(0), milliseconds(20)));
    for (auto& [id, node] : nodes_) {
      if (now_ >= node.paused_until && chance(0.2)) {
        with_node(id,
                  [this](fleet_node& self, std::vector<traffic_action>& actions) { self.router->tick(now_, actions); });
      }
    }
    const std::uint64_t kind = random_() % 100;
    if (kind < 70 || sent_requests_.empty()) {
      new_request();
    } else if (kind < 94) {
      repeat_request();
    } else if (kind < 98) {
      cancel_request();
    } else if (chance(0.25)) {
      inject_fault();
    }
  }
}

void
request_fleet::quiesce()
{
  isolated_.clear();
  cut_domains_.clear();
  for (int round = 0; round < 200; ++round) {
    advance(milliseconds(250));
    for (auto& [id, node] : nodes_) {
      with_node(id,
                [this](fleet_node& self, std::vector<traffic_action>& actions) { self.router->tick(now_, actions); });
    }
  }
  for (const auto& [id, node] : nodes_) {
    if (node.up && (!node.router->finished() || node.counters->in_flight != 0 || node.counters->queued != 0)) {
      violation(id + " still has requests in progress");
    }
  }
  for (const auto& [name, count] : outcomes_) {
    if (count > deliveries_[name]) {
      violation("request " + std::to_string(std::get<0>(name)) + " got more outcomes than its attempt had deliveries");
    }
  }
  for (const auto& [name, count] : deliveries_) {
    if (!faults_ && count > 0 && outcomes_[name] == 0) {
      violation("request " + std::to_string(std::get<0>(name)) + " attempt " + std::to_string(std::get<1>(name)) +
                " got no outcome");
    }
  }
}

}
