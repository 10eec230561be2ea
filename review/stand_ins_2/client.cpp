#include "client.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace review {

namespace {

constexpr std::array<std::int64_t, 3> opening_times_ms = { 0, 200, 600 };
constexpr std::int64_t opening_timeout_ms = 1400;
constexpr std::int64_t retransmission_ms = 200;
constexpr std::int64_t max_retransmission_ms = 1600;
constexpr std::int64_t retry_pause_ms = 20;

}

client::client(event_loop& loop, fleet& balancers, std::size_t zone, std::uint32_t address)
  : loop_(loop)
  , balancers_(balancers)
  , zone_(zone)
  , address_(address)
  , socket_(bind_udp(address, balancers.datagram_port()))
{
  loop_.watch(socket_, [this] { receive(); });
}

std::int64_t
client::sent_at(std::uint16_t port) const
{
  const auto found = sent_.find(port);
  return found == sent_.end() ? -1 : found->second;
}

void
client::request(std::uint32_t service, std::uint16_t port, std::int64_t budget_ms, int retries)
{
  open(service, port, now_ms() + budget_ms, retries);
}

void
client::keep_flow(std::uint32_t service,
                  std::uint16_t port,
                  std::int64_t budget_ms,
                  std::int64_t min_pause_ms,
                  std::int64_t max_pause_ms)
{
  flow& known = flows_[open(service, port, now_ms() + budget_ms, 0)];
  known.kept = true;
  known.budget_ms = budget_ms;
  known.min_pause_ms = min_pause_ms;
  known.max_pause_ms = max_pause_ms;
}

std::uint16_t
client::open(std::uint32_t service, std::uint16_t port, std::int64_t deadline, int retries)
{
  const std::uint16_t own = next_port_++;
  flow& known = flows_[own];
  known.service = service;
  known.service_port = port;
  known.own_sequence = static_cast<std::uint32_t>(std::rand());
  known.deadline = deadline;
  known.retries = retries;
  sent_[own] = now_ms();
  for (unsigned copy = 0; copy < opening_times_ms.size(); ++copy) {
    loop_.after(opening_times_ms[copy], [this, own, copy] { send_opening(own, copy); });
  }
  loop_.after(opening_timeout_ms, [this, own] {
    const auto found = flows_.find(own);
    if (found != flows_.end() && !found->second.open) {
      ++counts_.not_opened;
      const flow ended = found->second;
      flows_.erase(found);
      try_again(ended);
    }
  });
  return own;
}

void
client::try_again(const flow& ended)
{
  loop_.after(retry_pause_ms, [this, ended] {
    if (ended.kept) {
      keep_flow(ended.service, ended.service_port, ended.budget_ms, ended.min_pause_ms, ended.max_pause_ms);
    } else if (ended.retries > 0 && now_ms() < ended.deadline) {
      open(ended.service, ended.service_port, ended.deadline, ended.retries - 1);
    }
  });
}

void
client::send_opening(std::uint16_t port, unsigned copy)
{
  const auto found = flows_.find(port);
  if (found == flows_.end() || found->second.open) {
    return;
  }
  flow copy_of = found->second;
  copy_of.host_sequence = copy;
  copy_of.echo = 0;
  send(port, copy_of, flag_syn, copy_of.own_sequence, {});
}

void
client::start_request(std::uint16_t port)
{
  const auto found = flows_.find(port);
  if (found == flows_.end()) {
    return;
  }
  flow& known = found->second;
  known.waiting = true;
  ++known.request;
  known.data = "POST /r HTTP/1.1\r\nColtsfootlock-Request-Id: " + std::to_string(zone_) + "-" + std::to_string(port) +
               "-" + std::to_string(known.request) + "\r\n\r\n";
  if (known.kept) {
    known.deadline = now_ms() + known.budget_ms;
  }
  loop_.at(known.deadline, [this, port, request = known.request] {
    const auto late = flows_.find(port);
    if (late != flows_.end() && late->second.waiting && late->second.request == request) {
      ++counts_.too_late;
      send(port, late->second, flag_reset | flag_ack, late->second.own_sequence, {});
      const flow ended = late->second;
      flows_.erase(late);
      if (ended.kept) {
        try_again(ended);
      }
    }
  });
  send_request(port, known.request, 0);
}

void
client::send_request(std::uint16_t port, std::uint64_t request, int tries)
{
  const auto found = flows_.find(port);
  if (found == flows_.end() || !found->second.waiting || found->second.request != request) {
    return;
  }
  send(port, found->second, flag_ack, found->second.own_sequence, found->second.data);
  loop_.after(std::min(retransmission_ms << std::min(tries, 4), max_retransmission_ms),
              [this, port, request, tries] { send_request(port, request, tries + 1); });
}

void
client::send(std::uint16_t port, const flow& known, std::uint8_t flags, std::uint32_t sequence, const std::string& data)
{
  packet one;
  one.source = address_;
  one.source_port = port;
  one.destination = known.service;
  one.destination_port = known.service_port;
  one.flags = flags;
  one.echo = known.echo;
  one.sequence = sequence;
  one.acknowledged = known.host_sequence;
  one.data = data;
  seal(one);
  balancers_.forward(zone_, socket_, one);
}

void
client::receive()
{
  while (const auto bytes = receive_datagram(socket_)) {
    if (const auto one = read_packet(*bytes)) {
      on_packet(*one);
    }
  }
}

void
client::on_packet(const packet& one)
{
  const auto found = flows_.find(one.destination_port);
  if (found == flows_.end() || one.destination != address_) {
    return;
  }
  flow& known = found->second;
  if ((one.flags & flag_reset) != 0) {
    on_reset(one.destination_port, one);
  } else if (is_sealed(one) && (one.flags & flag_syn) != 0) {
    on_opened(one.destination_port, known, one);
  } else if (is_sealed(one) && !one.data.empty()) {
    on_data(one.destination_port, known, one);
  }
}

void
client::on_reset(std::uint16_t port, const packet& one)
{
  const flow known = flows_[port];
  const bool near = static_cast<std::uint32_t>(one.sequence - known.host_sequence + 76800U) <= 2 * 76800U;
  if (known.open && !near) {
    return;
  }
  flows_.erase(port);
  if (known.open) {
    ++counts_.cut;
    on_cut(port, is_sealed(one), known.waiting ? known.data : std::string());
  } else {
    ++counts_.reset;
  }
  if (!known.open || known.kept) {
    try_again(known);
  }
}

void
client::on_opened(std::uint16_t port, flow& known, const packet& one)
{
  if (known.open) {
    return;
  }
  known.open = true;
  known.echo = one.echo;
  known.host_sequence = one.sequence + 1;
  ++known.own_sequence;
  ++counts_.opened;
  start_request(port);
}

/// Every second packet with data is acknowledged, so that the copy of a single one is.
void
client::on_data(std::uint16_t port, flow& known, const packet& one)
{
  known.echo = one.echo;
  const bool is_new = known.waiting && one.sequence == known.host_sequence;
  if (is_new) {
    ++counts_.answered;
    known.waiting = false;
    known.host_sequence += static_cast<std::uint32_t>(one.data.size());
    known.own_sequence += static_cast<std::uint32_t>(known.data.size());
    if (!known.kept) {
      send(port, known, flag_ack | flag_fin, known.own_sequence, {});
      flows_.erase(port);
      return;
    }
    const std::int64_t spread = known.max_pause_ms - known.min_pause_ms + 1;
    loop_.after(known.min_pause_ms + std::rand() % spread, [this, port] { start_request(port); });
  }
  if (++known.unacknowledged % 2 == 0 || !is_new) {
    known.unacknowledged = 0;
    send(port, known, flag_ack, known.own_sequence, {});
  }
}

}
