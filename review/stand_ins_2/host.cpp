#include "host.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t retransmission_ms = 200;
constexpr std::int64_t max_retransmission_ms = 1600;
constexpr int max_retransmissions = 8;

}

host::host(event_loop& loop, store& registry, host_settings settings, host_observer& observer)
  : loop_(loop)
  , registry_(registry)
  , settings_(std::move(settings))
  , observer_(observer)
  , socket_(bind_udp(settings_.address, settings_.port))
  , listener_(listen_tcp(settings_.address, settings_.port))
  , tag_(std::strtoull(settings_.id.substr(settings_.id.rfind('-') + 1).c_str(), nullptr, 16))
  , warm_at_(now_ms() + settings_.cold_ms)
  , born_(static_cast<std::int64_t>(std::time(nullptr)) * 1000)
  , last_heartbeat_(now_ms())
{
  loop_.watch(socket_, [this] { receive(); });
  accept_checks();
  report("ready");
  loop_.after(settings_.heartbeat_ms, [this] { heartbeat(); });
  if (settings_.cold_ms > 0) {
    loop_.at(warm_at_, [this] { report("ready"); });
  }
}

void
host::accept_checks()
{
  loop_.watch(listener_, [this] {
    const int caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller >= 0) {
      close(caller);
    }
  });
}

void
host::set_listening()
{
  if (!settings_.refuses_when_full || ended_ || is_full() == (listener_ < 0)) {
    return;
  }
  if (is_full()) {
    loop_.forget(listener_);
    close(listener_);
    listener_ = -1;
  } else {
    listener_ = listen_tcp(settings_.address, settings_.port);
    accept_checks();
  }
}

bool
host::is_cold() const
{
  return now_ms() < warm_at_;
}

void
host::report(const std::string& state)
{
  state_ = state;
  entry_ = "{\"service\":\"" + settings_.service + "\",\"address\":\"" + address_text(settings_.address) + ":" +
           std::to_string(settings_.port) + "\",\"zone\":\"" + settings_.zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(settings_.slots) + ",\"state\":\"" + state +
           "\",\"warmup-left-ms\":" + std::to_string(std::max<std::int64_t>(warm_at_ - now_ms(), 0)) +
           ",\"seq\":" + std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) + "}";
  registry_.put("servers/" + settings_.id, entry_);
}

/// The entry changes only if more than the sequence number does: if another writer has replaced it.
void
host::heartbeat()
{
  last_heartbeat_ = now_ms();
  loop_.after(settings_.heartbeat_ms, [this] { heartbeat(); });
  if (!ended_ && !registry_.has("servers/" + settings_.id, entry_)) {
    report(state_);
  }
}

void
host::leave(std::int64_t serving_ms)
{
  report("draining");
  loop_.after(serving_ms, [this] {
    ended_ = true;
    registry_.remove("servers/" + settings_.id);
    loop_.forget(socket_);
    loop_.forget(listener_);
    close(socket_);
    close(listener_);
  });
}

void
host::receive()
{
  while (const auto bytes = receive_datagram(socket_)) {
    if (bytes->size() < 8) {
      continue;
    }
    std::uint64_t intended = 0;
    for (std::size_t index = 0; index < 8; ++index) {
      intended = intended << 8U | static_cast<std::uint8_t>((*bytes)[index]);
    }
    const auto one = read_packet(std::string_view(*bytes).substr(8));
    if (one && is_sealed(*one) && (intended == 0 || intended == tag_)) {
      on_packet(*one);
    }
  }
}

void
host::on_packet(const packet& one)
{
  const flow_key key{ one.source, one.source_port, one.destination, one.destination_port };
  auto found = flows_.find(key);
  if ((one.flags & flag_syn) != 0) {
    if (found == flows_.end()) {
      if (is_full() || ended_) {
        return; // Full.
      }
      flow opened;
      opened.own_sequence = static_cast<std::uint32_t>(std::rand());
      opened.client_sequence = one.sequence + 1;
      found = flows_.emplace(key, opened).first;
      observer_.on_opening(settings_.id, is_cold(), one);
    }
    found->second.echo = one.echo;
    send(key, found->second, flag_syn | flag_ack, found->second.own_sequence, {});
    return;
  }
  if (found == flows_.end()) {
    if ((one.flags & flag_reset) == 0) {
      flow unknown;
      unknown.own_sequence = one.acknowledged;
      send(key, unknown, flag_reset, one.acknowledged, {});
    }
    return;
  }
  flow& known = found->second;
  known.echo = one.echo;
  if ((one.flags & flag_reset) != 0) {
    flows_.erase(found);
    return;
  }
  if (!known.open) {
    if (one.acknowledged != known.own_sequence + 1) {
      return;
    }
    known.open = true;
    ++known.own_sequence;
  }
  if (!known.answer.empty() && one.acknowledged == known.answer_sequence + known.answer.size()) {
    known.answer.clear();
  }
  if (!one.data.empty()) {
    on_request(key, known, one);
  }
  if ((one.flags & flag_fin) != 0) {
    send(key, known, flag_ack | flag_fin, known.own_sequence, {});
    flows_.erase(key);
  }
}

void
host::on_request(const flow_key& key, flow& known, const packet& one)
{
  if (one.sequence != known.client_sequence) {
    send(key, known, flag_ack, known.own_sequence, {}); // A copy; the answer is resent by its own timer.
    return;
  }
  known.client_sequence += static_cast<std::uint32_t>(one.data.size());
  if (is_full()) {
    finish(key, "503 Service Unavailable\r\nColtsfootlock-Not-Executed: 1");
    return;
  }
  observer_.on_run(settings_.id, one);
  waiting_.push_back(key);
  start_work();
}

void
host::start_work()
{
  set_listening();
  while (busy_ < settings_.slots && !waiting_.empty()) {
    const flow_key key = waiting_.front();
    waiting_.pop_front();
    ++busy_;
    const std::int64_t spread = std::max<std::int64_t>(settings_.max_work_ms - settings_.work_ms, 0) + 1;
    loop_.after(is_cold() ? settings_.cold_work_ms : settings_.work_ms + std::rand() % spread, [this, key] {
      --busy_;
      if (ended_) {
        return;
      }
      finish(key, "200 OK");
      start_work();
    });
  }
  set_listening();
}

void
host::finish(const flow_key& key, const std::string& status)
{
  const auto found = flows_.find(key);
  if (found == flows_.end()) {
    return;
  }
  flow& known = found->second;
  known.answer = "HTTP/1.1 " + status + "\r\nColtsfootlock-Response-Stamp: " + settings_.id + "\r\n\r\n";
  known.answer_sequence = known.own_sequence;
  known.own_sequence += static_cast<std::uint32_t>(known.answer.size());
  resend_answer(key, known.answer_sequence, 0);
}

/// Sends the answer, and again until it is acknowledged.
void
host::resend_answer(const flow_key& key, std::uint32_t sequence, int tries)
{
  const auto found = flows_.find(key);
  if (found == flows_.end() || found->second.answer.empty() || found->second.answer_sequence != sequence) {
    return;
  }
  if (ended_ || tries > max_retransmissions) {
    flows_.erase(found);
    return;
  }
  send(key, found->second, flag_ack, sequence, found->second.answer);
  loop_.after(std::min(retransmission_ms << tries, max_retransmission_ms),
              [this, key, sequence, tries] { resend_answer(key, sequence, tries + 1); });
}

void
host::send(const flow_key& key, const flow& known, std::uint8_t flags, std::uint32_t sequence, const std::string& data)
{
  packet one;
  std::tie(one.destination, one.destination_port, one.source, one.source_port) = key;
  one.flags = flags;
  one.echo = known.echo;
  one.sequence = sequence;
  one.acknowledged = known.client_sequence;
  one.data = data;
  seal(one);
  send_datagram(socket_, one.destination, settings_.client_port, to_bytes(one));
}

}
