#pragma once

#include <cstdint>

namespace coltsfootlock {

/// Counters that the traffic thread keeps in addition to those of the engine; all are monotonic.
struct datagram_counters
{
  std::uint64_t malformed_from_callers = 0;
  std::uint64_t malformed_from_targets = 0;
  std::uint64_t malformed_from_peers = 0;
  std::uint64_t unauthenticated = 0;   ///< Peer datagrams with an invalid or replayed seal.
  std::uint64_t unknown_targets = 0;   ///< Packets from addresses that belong to no listed target.
  std::uint64_t before_first_view = 0; ///< Packets received before the first catalogue and VM list.
  std::uint64_t send_failures = 0;
  std::uint64_t heartbeat_bytes_sent = 0;
  std::uint64_t heartbeat_bytes_received = 0;
  std::uint64_t hint_bytes_sent = 0;
  std::uint64_t hint_bytes_received = 0;
  std::uint64_t forwarded_bytes_sent = 0;
  std::uint64_t forwarded_bytes_received = 0;
};

}
