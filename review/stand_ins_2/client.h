// Clients of one zone, as PROTOCOL.md describes them: a flow for each request, or one for many.
#pragma once

#include "event_loop.h"
#include "fleet.h"
#include "packet.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace review {

struct client_counts
{
  unsigned opened = 0;
  unsigned answered = 0;
  unsigned reset = 0;      ///< Attempts that a reset ended before the flow was open.
  unsigned cut = 0;        ///< Open flows that a reset ended before the answer.
  unsigned not_opened = 0; ///< Attempts without an answer to any first packet.
  unsigned too_late = 0;   ///< Requests on open flows without an answer within the time budget.
};

class client
{
public:
  /// `address`: of the clients, at the port of the daemons' datagrams.
  client(event_loop& loop, fleet& balancers, std::size_t zone, std::uint32_t address);

  /// Sends one request to the route at `service`:`port`, with `retries` further tries if no flow opens.
  void request(std::uint32_t service, std::uint16_t port, std::int64_t budget_ms, int retries);

  /// Keeps a flow open and sends a request after each pause of `min_pause_ms` to `max_pause_ms`. A flow that ends is
  /// replaced by another one.
  void keep_flow(std::uint32_t service,
                 std::uint16_t port,
                 std::int64_t budget_ms,
                 std::int64_t min_pause_ms,
                 std::int64_t max_pause_ms);

  /// Called when a reset ends an open flow. `by_host`: the reset has the host's sum. `waiting`: a request has no
  /// answer.
  std::function<void(std::uint16_t port, bool by_host, const std::string& waiting)> on_cut = [](auto&&...) {};

  /// When the opening packet with this source port was first sent; negative if it was not.
  std::int64_t sent_at(std::uint16_t port) const;

  const client_counts& counts() const { return counts_; }

private:
  struct flow
  {
    std::uint32_t service = 0;
    std::uint16_t service_port = 0;
    std::uint32_t own_sequence = 0;
    std::uint32_t host_sequence = 0;
    std::uint32_t echo = 0;
    bool open = false;
    std::int64_t deadline = 0;
    int retries = 0;
    std::string data;
    bool kept = false;
    bool waiting = false; ///< The request has no answer.
    std::uint64_t request = 0;
    std::int64_t budget_ms = 0;
    std::int64_t min_pause_ms = 0;
    std::int64_t max_pause_ms = 0;
    unsigned unacknowledged = 0; ///< Packets with data since the last acknowledgement.
  };

  std::uint16_t open(std::uint32_t service, std::uint16_t port, std::int64_t deadline, int retries);
  void send_opening(std::uint16_t port, unsigned copy);
  void send_request(std::uint16_t port, std::uint64_t request, int tries);
  void start_request(std::uint16_t port);
  void on_opened(std::uint16_t port, flow& known, const packet& one);
  void on_reset(std::uint16_t port, const packet& one);
  void on_data(std::uint16_t port, flow& known, const packet& one);
  void send(std::uint16_t port, const flow& known, std::uint8_t flags, std::uint32_t sequence, const std::string& data);
  void receive();
  void on_packet(const packet& one);
  void try_again(const flow& ended);

  event_loop& loop_;
  fleet& balancers_;
  std::size_t zone_;
  std::uint32_t address_;
  int socket_;
  std::uint16_t next_port_ = 20000;
  std::map<std::uint16_t, flow> flows_;
  std::map<std::uint16_t, std::int64_t> sent_;
  client_counts counts_;
};

}
