#pragma once

#include "settings.h"

#include "coltsfootlock/transport/udp_socket.h"

#include <optional>
#include <vector>

namespace coltsfootlock {

/// The sockets of the traffic thread.
struct traffic_sockets
{
  static constexpr std::size_t path_count = 4;

  udp_socket callers;
  udp_socket peers;
  std::vector<udp_socket> paths; ///< For packets to targets, by path number. Each path uses a different source port.

  /// Empty with the reason in `why` if an address cannot be bound.
  static std::optional<traffic_sockets> bind(const settings& values, error& why);
};

}
