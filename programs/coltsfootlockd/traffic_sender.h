#pragma once

#include "control_inbox.h"
#include "datagram_counters.h"
#include "traffic_sockets.h"

#include "coltsfootlock/coordination/traffic_action.h"
#include "coltsfootlock/protocol/datagram_seal.h"

#include <vector>

namespace coltsfootlock {

/// Carries out the actions of the traffic engine. Used only in the traffic thread.
class traffic_sender
{
public:
  traffic_sender(traffic_sockets& sockets,
                 datagram_seal& seal,
                 datagram_counters& counters,
                 control_inbox& inbox,
                 const endpoint& fabric);

  void carry_out(const std::vector<traffic_action>& actions);
  void send(const endpoint& peer, const peer_message& message);

private:
  void perform(const send_to_target& action);
  void perform(const send_to_caller& action);
  void perform(const send_to_peer& action);
  void perform(const report_target& action);
  void perform(const log_decision& action);
  void count_failure(bool sent);

  traffic_sockets& sockets_;
  datagram_seal& seal_;
  datagram_counters& counters_;
  control_inbox& inbox_;
  endpoint fabric_;
};

}
