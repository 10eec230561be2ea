#include "network.h"

#include <array>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t tag_bytes = 8;
constexpr int tick_ms = 5;
constexpr std::chrono::milliseconds first_copy{ 200 };
constexpr std::chrono::milliseconds second_copy{ 600 };
constexpr std::chrono::milliseconds open_timeout{ 1400 };
constexpr std::chrono::milliseconds longest_retransmission{ 1600 };
constexpr std::chrono::milliseconds time_budget{ 4000 };

/// The sum of packets of hosts and clients; resets of the system have 0.
constexpr std::uint32_t sum_of_ends = 0x5eed;

/// A reset of the system is valid if its sequence number is this close to the client's last acknowledgement.
constexpr std::uint32_t reset_window = 76800;

sockaddr_in
system_address(const endpoint& value)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(value.port);
  result.sin_addr.s_addr = htonl(value.address);
  return result;
}

int
bound_socket(int type, const endpoint& local)
{
  const int descriptor = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  const int buffer = 4 << 20;
  if (type == SOCK_STREAM) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
  const sockaddr_in address = system_address(local);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    throw std::runtime_error("cannot bind " + to_string(local));
  }
  return descriptor;
}

void
send_datagram(int socket, const endpoint& to, const std::string& bytes)
{
  const sockaddr_in address = system_address(to);
  ::sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

std::optional<std::string>
receive_datagram(int socket)
{
  std::array<char, 2048> buffer{};
  const ssize_t size = ::recv(socket, buffer.data(), buffer.size(), 0);
  return size < 0 ? std::nullopt : std::optional(std::string(buffer.data(), static_cast<std::size_t>(size)));
}

/// A daemon only connects; anyone else gets the answer of a healthy host.
void
answer_health_check(int listener)
{
  const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (connection >= 0) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    ::close(connection);
  }
}

std::string
header_of(const std::string& request, const std::string& name)
{
  const std::size_t begin = request.find(name + ": ");
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t value = begin + name.size() + 2;
  return request.substr(value, request.find("\r\n", value) - value);
}

}

std::uint32_t
address_number(const std::string& ip)
{
  in_addr result{};
  ::inet_pton(AF_INET, ip.c_str(), &result);
  return ntohl(result.s_addr);
}

std::uint16_t
free_port(std::uint16_t from)
{
  for (std::uint32_t port = from; port <= 65535; ++port) {
    bool free = true;
    for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
      const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
      const sockaddr_in any = system_address({ 0, static_cast<std::uint16_t>(port) });
      free = free && ::bind(descriptor, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0;
      ::close(descriptor);
    }
    if (free) {
      return static_cast<std::uint16_t>(port);
    }
  }
  throw std::runtime_error("no free port");
}

std::string
loopback_prefix()
{
  return "127." + std::to_string(60 + ::getpid() % 180) + ".";
}

network::network(const fleet& daemons, ports used_ports, store& records, record_file& record)
  : daemons_(daemons)
  , ports_(used_ports)
  , store_(records)
  , record_(record)
{
}

network::~network()
{
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
network::add_host(const std::string& id,
                  const std::string& service,
                  const std::string& zone,
                  const std::string& ip,
                  std::uint16_t port,
                  std::size_t max_connections)
{
  host added;
  added.id = id;
  added.tag = std::stoull(id.substr(id.rfind('-') + 1), nullptr, 16);
  added.service = service;
  added.max_connections = max_connections;
  const endpoint local{ address_number(ip), port };
  added.socket = bound_socket(SOCK_DGRAM, local);
  added.listener = bound_socket(SOCK_STREAM, local);
  ::listen(added.listener, 128);
  hosts_.push_back(std::move(added));
  const auto born =
    std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  store_.put("servers/" + id,
             R"({"service":")" + service + R"(","address":")" + to_string(local) + R"(","zone":")" + zone +
               R"(","version":"v1","slots":4,"state":"ready","warmup-left-ms":0,"seq":1,"born":)" +
               std::to_string(born.count()) + "}");
}

void
network::add_client(const std::string& ip, const std::string& zone)
{
  client added{ address_number(ip), zone, -1 };
  added.socket = bound_socket(SOCK_DGRAM, { added.address, ports_.datagram });
  clients_.push_back(std::move(added));
}

void
network::start()
{
  thread_ = std::thread([this] { run(); });
}

void
network::open_flow(const endpoint& route, std::chrono::milliseconds request_interval)
{
  const std::lock_guard lock(mutex_);
  const std::size_t index = next_client_++ % clients_.size();
  if (index == 0) {
    next_port_ = next_port_ == 65535 ? 1024 : next_port_ + 1;
  }
  const flow_key key{ { clients_[index].address, next_port_ }, route };
  client_flow& flow = flows_[key];
  flow = client_flow{};
  flow.client = index;
  flow.begun = steady::now();
  flow.next_sending = flow.begun;
  flow.request_interval = request_interval;
  flow.sequence = static_cast<std::uint32_t>(random_());
}

void
network::close_flows(const endpoint& route, std::size_t count)
{
  const std::lock_guard lock(mutex_);
  for (auto& [key, flow] : flows_) {
    if (count == 0) {
      return;
    }
    if (key.route == route && flow.state == phase::idle && !flow.request.empty()) {
      packet content;
      content.flags = flag::close | flag::acknowledge;
      send_from_client(key, flow, std::move(content));
      flow.state = phase::ended;
      --count;
    }
  }
}

std::size_t
network::open_flows(const endpoint& route)
{
  const std::lock_guard lock(mutex_);
  std::size_t result = 0;
  for (const auto& [key, flow] : flows_) {
    const bool open = flow.state == phase::idle || flow.state == phase::waiting;
    result += key.route == route && open ? 1 : 0;
  }
  return result;
}

std::vector<taken_open>
network::taken_opens()
{
  const std::lock_guard lock(mutex_);
  return taken_;
}

std::map<flow_key, std::vector<sent_open>>
network::sent_opens()
{
  const std::lock_guard lock(mutex_);
  return sent_;
}

std::map<flow_key, std::string>
network::runs()
{
  const std::lock_guard lock(mutex_);
  return runs_;
}

void
network::run()
{
  std::vector<pollfd> descriptors;
  for (const host& one : hosts_) {
    descriptors.push_back({ one.socket, POLLIN, 0 });
    descriptors.push_back({ one.listener, POLLIN, 0 });
  }
  for (const client& one : clients_) {
    descriptors.push_back({ one.socket, POLLIN, 0 });
  }
  auto next_tick = steady::now();
  while (!stopping_) {
    ::poll(descriptors.data(), descriptors.size(), tick_ms);
    const std::lock_guard lock(mutex_);
    for (host& one : hosts_) {
      while (const auto bytes = receive_datagram(one.socket)) {
        on_host_datagram(one, *bytes);
      }
      answer_health_check(one.listener);
      send_due_responses(one, steady::now());
    }
    for (const client& one : clients_) {
      while (const auto bytes = receive_datagram(one.socket)) {
        on_client_datagram(*bytes);
      }
    }
    const auto now = steady::now();
    if (now < next_tick) {
      continue;
    }
    next_tick = now + std::chrono::milliseconds(tick_ms);
    for (auto position = flows_.begin(); position != flows_.end();) {
      tick(position->first, position->second, now);
      position = position->second.state == phase::ended ? flows_.erase(position) : std::next(position);
    }
  }
}

void
network::send_to_client(const host& self, const flow_key& key, packet content) const
{
  content.source = key.route;
  content.destination = key.client;
  content.sum = sum_of_ends;
  send_datagram(self.socket, { key.client.address, ports_.datagram }, encode(content));
}

void
network::on_host_datagram(host& self, const std::string& bytes)
{
  const auto received = bytes.size() < tag_bytes ? std::nullopt : decode(std::string_view(bytes).substr(tag_bytes));
  if (!received) {
    return;
  }
  std::uint64_t tag = 0;
  for (std::size_t index = 0; index < tag_bytes; ++index) {
    tag = tag << 8U | static_cast<std::uint8_t>(bytes[index]);
  }
  if (tag != 0 && tag != self.tag) {
    return; // Meant for another host.
  }
  const flow_key key{ received->source, received->destination };
  auto found = self.flows.find(key);
  if ((received->flags & flag::open) != 0) {
    if (found == self.flows.end()) {
      if (self.flows.size() >= self.max_connections) {
        return; // Full.
      }
      host_flow flow;
      flow.sequence = static_cast<std::uint32_t>(random_());
      flow.expected = received->sequence + 1;
      found = self.flows.emplace(key, std::move(flow)).first;
      taken_.push_back({ key, self.service, self.id, received->acknowledged, steady::now() });
    }
    packet answer;
    answer.flags = flag::open | flag::acknowledge;
    answer.sequence = found->second.sequence;
    answer.acknowledged = found->second.expected;
    answer.echo = received->echo;
    send_to_client(self, key, std::move(answer));
    return;
  }
  if ((received->flags & flag::reset) != 0) {
    self.flows.erase(key);
    return;
  }
  packet answer;
  answer.echo = received->echo;
  if (found == self.flows.end()) {
    answer.flags = (received->flags & flag::close) != 0 ? flag::acknowledge : flag::reset;
    answer.sequence = received->acknowledged;
    answer.acknowledged = received->sequence + 1;
    send_to_client(self, key, std::move(answer));
    return;
  }
  found->second.echo = received->echo;
  if (!received->data.empty()) {
    on_request(self, key, found->second, *received);
  }
  if ((received->flags & flag::close) != 0) {
    answer.flags = flag::acknowledge | flag::close;
    answer.sequence = found->second.sequence + 1;
    answer.acknowledged = received->sequence + 1;
    self.flows.erase(found);
    send_to_client(self, key, std::move(answer));
  }
}

void
network::on_request(host& self, const flow_key& key, host_flow& flow, const packet& received)
{
  if (received.sequence == flow.expected) {
    flow.expected += static_cast<std::uint32_t>(received.data.size());
    flow.sequence += static_cast<std::uint32_t>(flow.response.size());
    const std::string id = header_of(received.data, "Coltsfootlock-Request-Id");
    flow.response =
      "HTTP/1.1 200 OK\r\nColtsfootlock-Response-Stamp: " + self.id + "-" + id + "\r\nContent-Length: 2\r\n\r\nok";
    runs_[key] = self.service;
    flow.response_due = steady::now() + work_;
  }
  if (!flow.response_due) {
    send_response(self, key, flow);
  } else if (work_.count() > 0) {
    packet answer;
    answer.flags = flag::acknowledge;
    answer.echo = flow.echo;
    answer.sequence = flow.sequence + 1;
    answer.acknowledged = flow.expected;
    send_to_client(self, key, std::move(answer));
  }
}

void
network::send_response(const host& self, const flow_key& key, const host_flow& flow) const
{
  packet answer;
  answer.flags = flag::acknowledge;
  answer.echo = flow.echo;
  answer.sequence = flow.sequence + 1;
  answer.acknowledged = flow.expected;
  answer.data = flow.response;
  send_to_client(self, key, std::move(answer));
}

void
network::send_due_responses(host& self, steady::time_point now) const
{
  for (auto& [key, flow] : self.flows) {
    if (flow.response_due && now >= *flow.response_due) {
      flow.response_due.reset();
      send_response(self, key, flow);
    }
  }
}

void
network::send_from_client(const flow_key& key, client_flow& flow, packet content)
{
  const client& sender = clients_[flow.client];
  content.source = key.client;
  content.destination = key.route;
  content.echo = flow.echo;
  content.sum = sum_of_ends;
  if ((content.flags & flag::open) == 0) {
    content.sequence = flow.sequence + 1;
    content.acknowledged = flow.expected;
  }
  // Hash by "mod" over the daemons in rotation in the client's zone.
  const auto rotation = daemons_.rotation(sender.zone);
  std::uint64_t hash = key.client.address * 2654435761ULL + key.client.port * 40503ULL + key.route.port;
  hash ^= hash >> 17U;
  const std::size_t daemon = rotation[hash % rotation.size()];
  if ((content.flags & flag::open) != 0) {
    flow.opens.push_back({ daemon, steady::now() });
    sent_[key] = flow.opens;
  }
  const endpoint to{ address_number(daemons_.machines()[daemon].ip), ports_.datagram };
  send_datagram(sender.socket, to, encode(content));
}

void
network::send_request(const flow_key& key, client_flow& flow, steady::time_point now)
{
  packet content;
  content.flags = flag::acknowledge;
  content.data = flow.request;
  flow.next_sending = now + flow.retransmission;
  flow.retransmission = std::min(2 * flow.retransmission, longest_retransmission);
  send_from_client(key, flow, std::move(content));
}

void
network::on_client_datagram(const std::string& bytes)
{
  const auto received = decode(bytes);
  if (!received) {
    return;
  }
  const auto found = flows_.find({ received->destination, received->source });
  if (found == flows_.end() || found->second.state == phase::ended) {
    return;
  }
  const flow_key& key = found->first;
  client_flow& flow = found->second;
  if ((received->flags & flag::reset) != 0) {
    on_reset(key, flow, *received);
    return;
  }
  if ((received->flags & flag::open) != 0) {
    if (flow.state == phase::opening && received->acknowledged == flow.sequence + 1) {
      flow.state = phase::idle;
      flow.expected = received->sequence + 1;
      flow.echo = received->echo;
      flow.next_sending = steady::now();
      packet content;
      content.flags = flag::acknowledge;
      send_from_client(key, flow, std::move(content));
    }
    return;
  }
  flow.echo = received->echo;
  const std::uint32_t sent_up_to = flow.sequence + 1 + static_cast<std::uint32_t>(flow.request.size());
  if (received->data.empty() && flow.state == phase::waiting && received->acknowledged == sent_up_to) {
    flow.next_sending = steady::now() + time_budget; // The host has the request.
    return;
  }
  if (received->data.empty() || received->sequence != flow.expected || flow.state != phase::waiting) {
    return;
  }
  flow.expected += static_cast<std::uint32_t>(received->data.size());
  flow.sequence += static_cast<std::uint32_t>(flow.request.size());
  flow.state = phase::idle;
  flow.next_sending = steady::now() + flow.request_interval;
  ++answered_;
  packet content;
  content.flags = flag::acknowledge;
  send_from_client(key, flow, std::move(content));
}

void
network::on_reset(const flow_key& key, client_flow& flow, const packet& received)
{
  const bool by_system = received.sum == 0;
  const bool open = flow.state != phase::opening;
  const auto distance = static_cast<std::int32_t>(received.sequence - flow.expected);
  if (by_system && open && static_cast<std::uint32_t>(std::abs(distance)) > reset_window) {
    return;
  }
  if (by_system && open) {
    for (const host& one : hosts_) {
      const auto held = one.flows.find(key);
      if (held != one.flows.end()) {
        cut_.push_back({ key, one.id, held->second.response_due.has_value(), steady::now() });
      }
    }
  }
  ++failed_;
  flow.state = phase::ended;
}

std::vector<cut_flow>
network::cut_flows()
{
  const std::lock_guard lock(mutex_);
  return cut_;
}

void
network::tick(const flow_key& key, client_flow& flow, steady::time_point now)
{
  if (flow.state == phase::opening) {
    if (now - flow.begun >= open_timeout) {
      ++failed_;
      flow.state = phase::ended;
      return;
    }
    if (flow.copies < 3 && now >= flow.next_sending) {
      packet content;
      content.flags = flag::open;
      content.sequence = flow.sequence;
      content.acknowledged = flow.copies;
      ++flow.copies;
      flow.next_sending = flow.begun + (flow.copies == 1 ? first_copy : second_copy);
      send_from_client(key, flow, std::move(content));
    }
    return;
  }
  if (now < flow.next_sending) {
    return;
  }
  if (flow.state == phase::idle) {
    flow.request =
      "GET / HTTP/1.1\r\nHost: a\r\nColtsfootlock-Request-Id: " + std::to_string(next_request_++) + "\r\n\r\n";
    flow.state = phase::waiting;
    flow.retransmission = std::chrono::milliseconds(200);
  }
  send_request(key, flow, now);
}

}
