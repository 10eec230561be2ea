#pragma once

#include "promise_log.h"

#include "coltsfootlock/state/flow_key.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/transport/udp_socket.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace coltsfootlock::soak {

/// Results of requests by the time of their start.
struct request_result
{
  instant started;
  bool idempotent = false;
  bool answered = false;

  auto operator<=>(const request_result&) const = default;
};

/// Callers at one address that keep flows open and send a request after the other over them.
class soak_caller
{
public:
  using send_packet = std::function<void(const flow_key&, const std::string&)>;

  /// Asked for each reset by the system of a flow that is open. `at`: service's end.
  using reset_check = std::function<void(const flow_key&)>;

  soak_caller(const endpoint& local,
              endpoint feed,
              endpoint claims,
              std::string name,
              send_packet send,
              reset_check on_reset);

  /// `sends_new`: begin new requests.
  void advance(bool sends_new, instant now);

  const std::map<std::string, request_result>& results() const { return results_; }

private:
  struct flow
  {
    flow_key key;
    bool opened = false;
    bool waits = false;
    std::uint32_t token = 0;
    std::uint32_t sequence = 101;
    std::uint32_t acknowledged = 0;
    instant sent;
    instant attempt_began;
    milliseconds retry{ 200 };
    std::uint32_t copies = 0;
    int attempts = 0;
    int requests = 0;
    std::string request;
    instant next_request;
  };

  void open(flow& one, instant now);
  void begin_request(flow& one, instant now);
  void send_request(flow& one, instant now);
  void fail_attempt(flow& one, bool may_retry, instant now);
  void on_packet(const std::string& bytes, instant now);
  void on_timer(flow& one, bool sends_new, instant now);

  udp_socket socket_;
  endpoint local_;
  std::string name_;
  send_packet send_;
  reset_check on_reset_;
  std::map<int, flow> flows_; ///< By number; even numbers send idempotent requests.
  std::map<flow_key, int> by_key_;
  std::map<std::string, request_result> results_;
  std::uint16_t next_port_ = 1024;
  std::uint64_t next_request_ = 0;
};

}
