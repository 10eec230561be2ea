#include "traffic_sockets.h"

#include <utility>

namespace coltsfootlock {

std::optional<traffic_sockets>
traffic_sockets::bind(const settings& values, error& why)
{
  auto callers = udp_socket::bind(values.packet_address, why);
  if (!callers) {
    why.message = "--packet-address: " + why.message;
    return std::nullopt;
  }
  auto peers = udp_socket::bind(values.peer_address, why);
  if (!peers) {
    why.message = "--peer-address: " + why.message;
    return std::nullopt;
  }
  traffic_sockets result{ std::move(*callers), std::move(*peers), {} };
  for (std::size_t path = 0; path < path_count; ++path) {
    auto socket = udp_socket::bind({ values.packet_address.address, 0 }, why);
    if (!socket) {
      why.message = "cannot open a socket for packets to targets: " + why.message;
      return std::nullopt;
    }
    result.paths.push_back(std::move(*socket));
  }
  return result;
}

}
