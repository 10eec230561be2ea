#include "traffic_sender.h"

#include "coltsfootlock/protocol/packet_codec.h"
#include "coltsfootlock/protocol/peer_codec.h"
#include "coltsfootlock/transport/log.h"

#include <variant>

namespace coltsfootlock {

namespace {

std::uint64_t&
bytes_sent(datagram_counters& counters, const peer_message& message)
{
  if (std::holds_alternative<heartbeat>(message)) {
    return counters.heartbeat_bytes_sent;
  }
  return std::holds_alternative<route_hints>(message) ? counters.hint_bytes_sent : counters.forwarded_bytes_sent;
}

}

traffic_sender::traffic_sender(traffic_sockets& sockets,
                               datagram_seal& seal,
                               datagram_counters& counters,
                               control_inbox& inbox,
                               const endpoint& fabric)
  : sockets_(sockets)
  , seal_(seal)
  , counters_(counters)
  , inbox_(inbox)
  , fabric_(fabric)
{
}

void
traffic_sender::carry_out(const std::vector<traffic_action>& actions)
{
  for (const traffic_action& action : actions) {
    std::visit([this](const auto& kind) { perform(kind); }, action);
  }
}

void
traffic_sender::send(const endpoint& peer, const peer_message& message)
{
  const std::string datagram = seal_.seal(encode_peer_message(message));
  bytes_sent(counters_, message) += datagram.size();
  count_failure(sockets_.peers.send(peer, datagram));
}

void
traffic_sender::perform(const send_to_target& action)
{
  udp_socket& socket = sockets_.paths[action.path % sockets_.paths.size()];
  count_failure(socket.send(action.address, encode_packet(action.content)));
}

void
traffic_sender::perform(const send_to_caller& action)
{
  count_failure(sockets_.callers.send(fabric_, encode_packet(action.content)));
}

void
traffic_sender::perform(const send_to_peer& action)
{
  send(action.address, action.message);
}

void
traffic_sender::perform(const report_target& action)
{
  inbox_.reports.push(target_reported{ action.target, action.report, action.shed });
}

void
traffic_sender::perform(const log_decision& action)
{
  write_log(log_level::info, action.part, action.text);
}

void
traffic_sender::count_failure(bool sent)
{
  if (!sent) {
    ++counters_.send_failures;
  }
}

}
