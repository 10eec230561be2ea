#pragma once

#include "promise_log.h"

#include "coltsfootlock/state/flow_key.h"
#include "coltsfootlock/state/target_record.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/transport/page_server.h"
#include "coltsfootlock/transport/udp_socket.h"
#include "platform/tests/stand_ins/packet_maker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coltsfootlock::soak {

/// A target that serves flows, and checks what reaches it.
class soak_target
{
public:
  enum class health
  {
    serving,
    crashed, ///< The process is gone; its VM rejects what comes.
    dark     ///< Nothing comes and goes.
  };

  /// A first packet that the target took.
  struct taken_open
  {
    std::string domain; ///< Of the target.
    std::string group;  ///< Of the target.
    bool leaving = false;
    instant leaving_since;
    endpoint daemon;
    flow_key flow;
    std::uint32_t copy = 0; ///< 0 for the original.
  };

  soak_target(const target_record& record, std::uint16_t caller_port, promise_log& promises);

  void advance(instant now);
  void set_health(health value, instant now);
  void leave(instant now);

  /// Takes no first packets until then. Open flows go on.
  void fill(instant until) { full_until_ = until; }

  /// First packets taken since the last call.
  std::vector<taken_open> take_opens();

  /// True if the target holds the flow as open and has been undisturbed for `time`.
  bool holds_undisturbed(const flow_key& flow, milliseconds time, instant now) const;

  const target_record& record() const { return record_; }
  health state() const { return health_; }

  /// Runs by request, over all targets.
  static std::map<std::string, int>& runs();

private:
  struct held_flow
  {
    bool open = false;
    std::uint32_t next_of_caller = 0;
    std::uint32_t sent = 1;
  };
  struct due_answer
  {
    flow_key flow;
    std::uint32_t token = 0;
    std::string request;
  };

  void on_datagram(const std::string& datagram, const endpoint& daemon, instant now);
  void on_open(const platform::stand_ins::made_packet& packet, const endpoint& daemon, instant now);
  void on_data(const platform::stand_ins::made_packet& packet, instant now);
  void send(const platform::stand_ins::made_packet& answer);
  void listen();

  target_record record_;
  std::uint16_t caller_port_;
  promise_log& promises_;
  udp_socket socket_;
  std::optional<page_server> health_page_;
  health health_ = health::serving;
  instant disturbed_;
  instant leaving_since_;
  instant full_until_;
  std::map<flow_key, held_flow> flows_;
  std::multimap<instant, due_answer> answers_;
  std::vector<taken_open> opens_;
};

}
