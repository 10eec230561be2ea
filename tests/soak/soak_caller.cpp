#include "soak_caller.h"

#include "platform/packet_head.h"
#include "platform/tests/stand_ins/packet_maker.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace coltsfootlock::soak {

namespace {

using platform::stand_ins::made_packet;

constexpr int flows_per_caller = 6;
constexpr milliseconds open_attempt{ 1400 };
constexpr milliseconds time_budget{ 4000 };
constexpr milliseconds longest_retry{ 1600 };
constexpr milliseconds pause_between_requests{ 40 };
constexpr int requests_per_flow = 20;
constexpr int most_attempts = 3;
constexpr std::uint32_t first_sequence = 100;

}

soak_caller::soak_caller(const endpoint& local,
                         endpoint feed,
                         endpoint claims,
                         std::string name,
                         send_packet send,
                         reset_check on_reset)
  : socket_([&local] {
    error why;
    auto socket = udp_socket::bind(local, why);
    if (!socket) {
      throw std::runtime_error(why.message);
    }
    return std::move(*socket);
  }())
  , local_(local)
  , name_(std::move(name))
  , send_(std::move(send))
  , on_reset_(std::move(on_reset))
{
  for (int number = 0; number < flows_per_caller; ++number) {
    flows_[number].key.service = number % 2 == 0 ? feed : claims;
  }
}

void
soak_caller::open(flow& one, instant now)
{
  by_key_.erase(one.key);
  one.key.caller = { local_.address, ++next_port_ };
  if (next_port_ > 60000) {
    next_port_ = 1024;
  }
  const auto number =
    std::find_if(flows_.begin(), flows_.end(), [&one](const auto& entry) { return &entry.second == &one; })->first;
  by_key_[one.key] = number;
  one.opened = false;
  one.token = 0;
  one.sequence = first_sequence + 1;
  one.copies = 0;
  one.requests = 0;
  one.attempt_began = now;
  one.sent = now;
  made_packet packet{ one.key.caller, one.key.service, 0, true, false, false, false, first_sequence, 0, "" };
  send_(one.key, platform::stand_ins::to_bytes(packet));
}

void
soak_caller::begin_request(flow& one, instant now)
{
  one.request = name_ + "-" + std::to_string(++next_request_);
  one.waits = true;
  one.attempts = 1;
  const bool idempotent = by_key_.empty() || one.key.service.port == 443;
  results_[one.request] = { now, idempotent, false };
  if (!one.opened || one.requests >= requests_per_flow) {
    if (one.opened) {
      made_packet close{ one.key.caller, one.key.service, one.token,        false, true, true,
                         false,          one.sequence,    one.acknowledged, "" };
      send_(one.key, platform::stand_ins::to_bytes(close));
    }
    open(one, now);
    return;
  }
  one.attempt_began = now;
  one.retry = milliseconds(200);
  send_request(one, now);
}

void
soak_caller::send_request(flow& one, instant now)
{
  made_packet packet{ one.key.caller, one.key.service, one.token,        false,      true, false,
                      false,          one.sequence,    one.acknowledged, one.request };
  one.sent = now;
  send_(one.key, platform::stand_ins::to_bytes(packet));
}

void
soak_caller::fail_attempt(flow& one, bool may_retry, instant now)
{
  const instant began = results_[one.request].started;
  one.opened = false;
  if (may_retry && one.attempts < most_attempts && now - began < time_budget) {
    ++one.attempts;
    open(one, now);
    return;
  }
  by_key_.erase(one.key);
  one.waits = false;
  one.next_request = now + pause_between_requests;
}

void
soak_caller::on_packet(const std::string& bytes, instant now)
{
  const auto packet = platform::read_packet(bytes);
  if (!packet) {
    return;
  }
  const flow_key key{ packet->flow.service, packet->flow.caller }; // Packets to a caller name the service's end first.
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) {
    return;
  }
  flow& one = flows_[found->second];
  const bool by_system = packet->resets && !platform::stand_ins::has_acknowledge_flag(bytes) && packet->token == 0;
  if (packet->resets) {
    if (by_system && one.opened) {
      on_reset_(key);
    }
    const bool idempotent = one.key.service.port == 443;
    if (one.waits) {
      fail_attempt(one, idempotent || !one.opened, now);
    } else {
      one.opened = false;
    }
    return;
  }
  one.token = packet->token;
  if (!one.opened) {
    one.opened = true;
    one.acknowledged = packet->sequence + 1;
    one.retry = milliseconds(200);
    send_request(one, now);
    return;
  }
  const std::string payload = bytes.substr(platform::packet_head_bytes);
  if (payload.empty() || !one.waits || payload != one.request) {
    return;
  }
  results_[one.request].answered = true;
  one.waits = false;
  one.sequence += static_cast<std::uint32_t>(one.request.size());
  one.acknowledged = packet->sequence + static_cast<std::uint32_t>(payload.size());
  ++one.requests;
  one.next_request = now + pause_between_requests;
  made_packet acknowledgement{ one.key.caller, one.key.service, one.token,        false, true, false,
                               false,          one.sequence,    one.acknowledged, "" };
  send_(one.key, platform::stand_ins::to_bytes(acknowledgement));
}

void
soak_caller::on_timer(flow& one, bool sends_new, instant now)
{
  if (!one.waits) {
    if (sends_new && now >= one.next_request) {
      begin_request(one, now);
    }
    return;
  }
  if (now - results_[one.request].started > time_budget) {
    fail_attempt(one, false, now);
    return;
  }
  if (!one.opened) {
    if (now - one.attempt_began > open_attempt) {
      fail_attempt(one, true, now);
      return;
    }
    const milliseconds copy_after(one.copies == 0 ? 200 : 600);
    if (one.copies < 2 && now - one.attempt_began >= copy_after) {
      ++one.copies;
      made_packet packet{
        one.key.caller, one.key.service, 0, true, false, false, false, first_sequence, one.copies, ""
      };
      send_(one.key, platform::stand_ins::to_bytes(packet));
    }
    return;
  }
  if (now - one.sent >= one.retry) {
    one.retry = std::min(one.retry * 2, longest_retry);
    send_request(one, now);
  }
}

void
soak_caller::advance(bool sends_new, instant now)
{
  while (const auto datagram = socket_.receive()) {
    on_packet(datagram->content, now);
  }
  for (auto& [number, one] : flows_) {
    on_timer(one, sends_new, now);
  }
}

}
