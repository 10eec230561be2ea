#pragma once

#include "daemon.h"
#include "free_address.h"
#include "http_stand_in.h"
#include "settings.h"

#include "coltsfootlock/protocol/packet_codec.h"
#include "coltsfootlock/transport/http_client.h"
#include "coltsfootlock/transport/udp_socket.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include <poll.h>

#include <boost/test/unit_test.hpp>

namespace coltsfootlock {

/// One target, one fabric and one platform on loopback, and the settings for two daemons of one domain.
class daemon_fixture
{
public:
  static constexpr http_limits test_limits{ milliseconds(5000), milliseconds(10000), 4 * 1024 * 1024 };
  static constexpr int max_wait_ms = 20000;
  const flow_key flow{ { 0x0a000001, 4000 }, { 0x0a140001, 7001 } };

  daemon_fixture()
  {
    platform.server.Get("/catalogue",
                        [this](const auto& request, auto& response) { publish(catalogue_text(), request, response); });
    platform.server.Get("/vms",
                        [this](const auto& request, auto& response) { publish(list_text(), request, response); });
    platform.start();
    load.server.Get("/load", [this](const auto&, auto& response) {
      ++load_polls;
      response.set_content(R"({"incarnation":1,"condition":"serving","slots_in_use":0,"connections":0})",
                           "application/json");
    });
    load.start();
  }

  static endpoint loopback() { return { 0x7f000001, 0 }; }

  settings settings_of(int number)
  {
    settings values = number == 1 ? first : second;
    values.self = "vm-" + std::to_string(number);
    values.domain = "a";
    values.fabric = fabric.local();
    values.platform = platform.address();
    fleet_key key{};
    key.fill(7);
    values.keys = { key };
    values.times.heartbeat_interval = milliseconds(50);
    values.times.suspect_after = milliseconds(400);
    values.times.spend_authority_timeout = milliseconds(500);
    values.times.key_authority_timeout = milliseconds(500);
    values.times.platform_wait = milliseconds(100);
    values.times.platform_timeout = milliseconds(5000);
    values.times.platform_retry = milliseconds(50);
    values.times.start_wait = milliseconds(100);
    values.times.target_poll_interval = milliseconds(100);
    values.times.drain = milliseconds(0);
    return values;
  }

  std::unique_ptr<daemon> start(const settings& values)
  {
    auto running = daemon::start(values, why);
    BOOST_REQUIRE_MESSAGE(running, why.message);
    return running;
  }

  /// Sends `request` to the daemon repeatedly until a packet of the kind arrives on the socket, and returns that
  /// packet.
  template<typename Kind>
  std::optional<Kind> send_until_received(const endpoint& daemon, const packet& request, udp_socket& socket)
  {
    const auto deadline = std::chrono::steady_clock::now() + milliseconds(max_wait_ms);
    while (std::chrono::steady_clock::now() < deadline) {
      fabric.send(daemon, encode_packet(request));
      if (auto found = next<Kind>(socket, 50)) {
        return found;
      }
    }
    return std::nullopt;
  }

  /// The next packet of the kind on the socket; others are skipped.
  template<typename Kind>
  std::optional<Kind> next(udp_socket& socket, int wait_ms)
  {
    pollfd waiting{ socket.descriptor(), POLLIN, 0 };
    while (::poll(&waiting, 1, wait_ms) == 1) {
      const auto datagram = socket.receive();
      const auto content = datagram ? decode_packet(datagram->content, why) : std::nullopt;
      if (const auto* kind = content ? std::get_if<Kind>(&*content) : nullptr) {
        last_sender = datagram->sender;
        return *kind;
      }
    }
    return std::nullopt;
  }

  std::string page(const endpoint& server, const std::string& path, int& status)
  {
    const auto response = http.get(server, path, test_limits, why);
    status = response ? response->status : 0;
    return response ? response->body : "";
  }

  /// Polls the page until it has the status and contains the text. False after max_wait_ms.
  bool wait_for_page(const endpoint& server, const std::string& path, int status, const std::string& text)
  {
    const auto deadline = std::chrono::steady_clock::now() + milliseconds(max_wait_ms);
    while (std::chrono::steady_clock::now() < deadline) {
      int found = 0;
      const std::string body = page(server, path, found);
      if (found == status && body.find(text) != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  error why;
  http_client http;
  http_stand_in platform;
  http_stand_in load;
  udp_socket fabric = *udp_socket::bind(loopback(), why);
  udp_socket target = *udp_socket::bind(loopback(), why);
  endpoint last_sender;
  std::atomic<int> load_polls{ 0 };
  std::atomic<bool> platform_down{ false };
  settings first = addresses();
  settings second = addresses();

private:
  static settings addresses()
  {
    settings values;
    values.packet_address = free_address();
    values.peer_address = free_address();
    values.call_address = free_address();
    values.metrics_address = free_address();
    return values;
  }

  void publish(const std::string& text, const httplib::Request& request, httplib::Response& response) const
  {
    response.set_header("X-Version", "1");
    if (platform_down) {
      response.status = 503;
    } else if (request.get_param_value("after") == "0") {
      response.set_content(text, "application/json");
    } else {
      response.status = 304;
    }
  }

  static std::string catalogue_text()
  {
    return R"({ "version": 1, "failure_domains": [ { "name": "a", "in_service": true } ], "services": [
      { "name": "feed", "owner": "team", "class": "urgent", "address": "10.20.0.1:7001", "target_group": "group",
        "limits": { "slots": 4, "connections": 20, "cold_slots": 4, "cold_connections": 20, "warm_up_seconds": 0 },
        "request_timeout_ms": 1000, "queue_limit": 256 } ] })";
  }

  std::string list_text() const
  {
    return R"({ "version": 1, "entries": [ )" + entry_text("vm-1", first) + ", " + entry_text("vm-2", second) +
           R"( ], "targets": [ { "id": "target-1", "domain": "a", "state": "live", "target_group": "group", "incarnation": 1,
             "packet_address": ")" +
           to_string(target.local()) + R"(", "load_address": ")" + to_string(load.address()) + R"(" } ] })";
  }

  static std::string entry_text(const std::string& name, const settings& values)
  {
    return R"({ "id": ")" + name + R"(", "domain": "a", "state": "live", "packet_address": ")" +
           to_string(values.packet_address) + R"(", "peer_address": ")" + to_string(values.peer_address) +
           R"(", "call_address": ")" + to_string(values.call_address) + R"(" })";
  }
};

}
