#pragma once

#include "fleet.h"
#include "packet.h"
#include "record_file.h"
#include "store.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Both ends of a flow: the client's and the route's.
struct flow_key
{
  endpoint client;
  endpoint route;

  auto operator<=>(const flow_key&) const = default;
};

/// A first packet that a host took: it opened a flow at the host.
struct taken_open
{
  flow_key flow;
  std::string service;
  std::string host;
  std::uint32_t copy = 0; ///< 0 for the first packet, 1 and 2 for its copies.
  steady::time_point at;
};

/// An open flow that the client lost to a reset of the system.
struct cut_flow
{
  flow_key flow;
  std::string host;
  bool runs = false; ///< The host had begun to run a request of the flow, and the client had no answer.
  steady::time_point at;
};

/// A first packet or a copy that a client sent.
struct sent_open
{
  std::size_t daemon = 0;
  steady::time_point at;
};

/// Hosts, clients and the routers between clients and daemons, as PROTOCOL.md describes them, in one thread.
class network
{
public:
  network(const fleet& daemons, ports used_ports, store& records, record_file& record);
  network(const network&) = delete;
  network& operator=(const network&) = delete;
  ~network();

  /// Starts a host that registers itself in the store. Only before `start`.
  void add_host(const std::string& id,
                const std::string& service,
                const std::string& zone,
                const std::string& ip,
                std::uint16_t port,
                std::size_t max_connections);
  /// Adds a client. Only before `start`.
  void add_client(const std::string& ip, const std::string& zone);
  void start();

  /// Opens a flow from a client to a route. Its client sends a request at once and then every `request_interval`.
  void open_flow(const endpoint& route, std::chrono::milliseconds request_interval);
  /// Closes some open flows to a route that wait for nothing.
  void close_flows(const endpoint& route, std::size_t count);

  std::size_t open_flows(const endpoint& route);
  std::vector<taken_open> taken_opens();
  std::map<flow_key, std::vector<sent_open>> sent_opens();
  /// The services at which requests of a flow were run.
  std::map<flow_key, std::string> runs();
  /// Resets of the system on flows that were open at a host which holds them still.
  std::vector<cut_flow> cut_flows();
  /// Time that hosts take to run a request; none at first. Only before `start`.
  void set_work(std::chrono::milliseconds time) { work_ = time; }
  std::size_t answered() const { return answered_; }
  std::size_t failed() const { return failed_; }

private:
  struct host_flow
  {
    std::uint32_t sequence = 0;
    std::uint32_t expected = 0; ///< Next sequence number of the client.
    std::uint32_t echo = 0;
    std::string response;
    std::optional<steady::time_point> response_due; ///< While a request runs.
  };
  struct host
  {
    std::string id;
    std::uint64_t tag = 0;
    std::string service;
    int socket = -1;
    int listener = -1;
    std::size_t max_connections = 0;
    std::map<flow_key, host_flow> flows;
  };
  struct client
  {
    std::uint32_t address = 0;
    std::string zone;
    int socket = -1;
  };
  enum class phase : std::uint8_t
  {
    opening,
    idle,
    waiting,
    ended
  };
  struct client_flow
  {
    std::size_t client = 0;
    phase state = phase::opening;
    steady::time_point begun;
    steady::time_point next_sending;
    std::chrono::milliseconds retransmission{ 200 };
    std::chrono::milliseconds request_interval{ 0 };
    std::uint32_t copies = 0;
    std::uint32_t sequence = 0;
    std::uint32_t expected = 0; ///< Next sequence number of the host.
    std::uint32_t echo = 0;
    std::string request;
    std::vector<sent_open> opens;
  };

  void run();
  void on_host_datagram(host& self, const std::string& bytes);
  void on_request(host& self, const flow_key& key, host_flow& flow, const packet& received);
  void send_response(const host& self, const flow_key& key, const host_flow& flow) const;
  void send_due_responses(host& self, steady::time_point now) const;
  void on_reset(const flow_key& key, client_flow& flow, const packet& received);
  void send_to_client(const host& self, const flow_key& key, packet content) const;
  void on_client_datagram(const std::string& bytes);
  void send_from_client(const flow_key& key, client_flow& flow, packet content);
  void send_request(const flow_key& key, client_flow& flow, steady::time_point now);
  void tick(const flow_key& key, client_flow& flow, steady::time_point now);

  const fleet& daemons_;
  ports ports_;
  store& store_;
  record_file& record_;
  std::vector<host> hosts_;
  std::vector<client> clients_;
  std::mutex mutex_;
  std::map<flow_key, client_flow> flows_;
  std::vector<taken_open> taken_;
  std::vector<cut_flow> cut_;
  std::chrono::milliseconds work_{ 0 };
  std::map<flow_key, std::vector<sent_open>> sent_;
  std::map<flow_key, std::string> runs_;
  std::minstd_rand random_{ 1 };
  std::uint16_t next_port_ = 1024;
  std::size_t next_client_ = 0;
  std::uint64_t next_request_ = 1;
  std::atomic<std::size_t> answered_{ 0 };
  std::atomic<std::size_t> failed_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

/// The number of an address as the packets carry it.
std::uint32_t
address_number(const std::string& ip);

/// The first port from `from` on that nothing on this machine uses.
std::uint16_t
free_port(std::uint16_t from);

/// An unused prefix of loopback addresses such as "127.83." for this run.
std::string
loopback_prefix();

}
