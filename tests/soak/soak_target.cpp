#include "soak_target.h"

#include "platform/packet_head.h"

#include <cstring>
#include <utility>

namespace coltsfootlock::soak {

namespace {

using platform::stand_ins::made_packet;

/// Work of a request.
constexpr milliseconds work{ 15 };

std::uint64_t
tag_of(const std::string& datagram)
{
  std::uint64_t tag = 0;
  for (std::size_t index = 0; index < platform::target_tag_bytes; ++index) {
    tag = (tag << 8U) | static_cast<unsigned char>(datagram[index]);
  }
  return tag;
}

}

std::map<std::string, int>&
soak_target::runs()
{
  static std::map<std::string, int> counts;
  return counts;
}

soak_target::soak_target(const target_record& record, std::uint16_t caller_port, promise_log& promises)
  : record_(record)
  , caller_port_(caller_port)
  , promises_(promises)
  , socket_([&record] {
    error why;
    auto socket = udp_socket::bind(record.vm.packet_address, why);
    if (!socket) {
      throw std::runtime_error(why.message);
    }
    return std::move(*socket);
  }())
{
  listen();
}

void
soak_target::listen()
{
  error why;
  health_page_ = page_server::listen(record_.vm.load_address, why);
}

void
soak_target::set_health(health value, instant now)
{
  health_ = value;
  disturbed_ = now;
  flows_.clear();
  answers_.clear();
  if (value == health::serving) {
    ++record_.vm.incarnation;
    listen();
  } else if (value == health::crashed) {
    health_page_.reset();
  }
}

void
soak_target::leave(instant now)
{
  record_.vm.leaving = true;
  leaving_since_ = now;
}

std::vector<soak_target::taken_open>
soak_target::take_opens()
{
  return std::exchange(opens_, {});
}

bool
soak_target::holds_undisturbed(const flow_key& flow, milliseconds time, instant now) const
{
  const auto found = flows_.find(flow);
  return health_ == health::serving && now - disturbed_ > time && found != flows_.end() && found->second.open;
}

void
soak_target::send(const made_packet& answer)
{
  const std::string bytes = platform::stand_ins::to_bytes(answer);
  socket_.send({ answer.destination.address, caller_port_ }, bytes);
}

void
soak_target::on_open(const made_packet& packet, const endpoint& daemon, instant now)
{
  if (now < full_until_) {
    return;
  }
  const flow_key flow{ packet.source, packet.destination };
  held_flow& held = flows_[flow];
  if (!held.open) {
    held.next_of_caller = packet.sequence + 1;
  }
  opens_.push_back({ record_.vm.domain,
                     record_.vm.target_group,
                     record_.vm.leaving,
                     leaving_since_,
                     daemon,
                     flow,
                     packet.acknowledged });
  made_packet answer{ packet.destination, packet.source, packet.token, true, true, false, false, 0, 0, "" };
  answer.acknowledged = packet.sequence + 1;
  send(answer);
}

void
soak_target::on_data(const made_packet& packet, instant now)
{
  const flow_key flow{ packet.source, packet.destination };
  const auto found = flows_.find(flow);
  made_packet answer{ packet.destination, packet.source, packet.token, false, true, false, false, 0, 0, "" };
  if (found == flows_.end()) {
    answer.resets = true;
    send(answer);
    return;
  }
  held_flow& held = found->second;
  held.open = true;
  if (packet.closes) {
    flows_.erase(found);
    return;
  }
  if (packet.payload.empty()) {
    return;
  }
  if (packet.sequence == held.next_of_caller) {
    held.next_of_caller += static_cast<std::uint32_t>(packet.payload.size());
    ++runs()[packet.payload];
    answers_.emplace(now + work, due_answer{ flow, packet.token, packet.payload });
  }
  answer.sequence = held.sent;
  answer.acknowledged = held.next_of_caller;
  send(answer);
}

void
soak_target::on_datagram(const std::string& datagram, const endpoint& daemon, instant now)
{
  if (datagram.size() < platform::target_tag_bytes + platform::packet_head_bytes) {
    promises_.check(false, "packets arrive whole", "a datagram of " + std::to_string(datagram.size()) + " bytes");
    return;
  }
  const std::string bytes = datagram.substr(platform::target_tag_bytes);
  promises_.check(tag_of(datagram) == record_.tag, "packets reach the target they are meant for", record_.vm.id);
  promises_.check(platform::stand_ins::is_unchanged(bytes), "packets arrive unchanged", record_.vm.id);
  const auto packet = platform::read_packet(bytes);
  if (!packet || health_ == health::dark) {
    return;
  }
  made_packet read;
  read.source = packet->flow.caller;
  read.destination = packet->flow.service;
  read.token = packet->token;
  read.closes = packet->closes;
  read.sequence = packet->sequence;
  read.acknowledged = packet->acknowledged;
  read.payload = bytes.substr(platform::packet_head_bytes);
  if (health_ == health::crashed) {
    made_packet reset{ read.destination, read.source, read.token, false, false, false, true, 0, 0, "" };
    send(reset);
    return;
  }
  if (packet->opens) {
    on_open(read, daemon, now);
  } else {
    on_data(read, now);
  }
}

void
soak_target::advance(instant now)
{
  while (const auto datagram = socket_.receive()) {
    on_datagram(datagram->content, datagram->sender, now);
  }
  while (!answers_.empty() && answers_.begin()->first <= now) {
    const due_answer answer = answers_.begin()->second;
    answers_.erase(answers_.begin());
    const auto found = flows_.find(answer.flow);
    if (found == flows_.end()) {
      continue;
    }
    held_flow& held = found->second;
    made_packet packet{ answer.flow.service, answer.flow.caller, answer.token, false, true, false, false, 0, 0,
                        answer.request };
    packet.sequence = held.sent;
    packet.acknowledged = held.next_of_caller;
    held.sent += static_cast<std::uint32_t>(answer.request.size());
    send(packet);
  }
  if (health_page_) {
    std::vector<pollfd> polled;
    health_page_->add_descriptors(polled);
    ::poll(polled.data(), polled.size(), 0);
    health_page_->advance(polled, now);
  }
}

}
