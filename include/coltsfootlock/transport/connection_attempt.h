#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/transport/owned_descriptor.h"

#include <cstdint>

namespace coltsfootlock {

/// Tries to open a TCP connection and closes it again. Does not block.
class connection_attempt
{
public:
  enum class progress : std::uint8_t
  {
    waiting,
    connected,
    refused, ///< The server's VM rejected the connection.
    failed,  ///< This VM cannot make the attempt, or the network reported another problem.
  };

  /// An attempt that has failed.
  connection_attempt() = default;
  explicit connection_attempt(const endpoint& server);

  bool is_open() const { return descriptor_.is_open(); }

  /// For poll(), with POLLOUT; -1 if the attempt is over.
  int descriptor() const { return descriptor_.get(); }

  progress state() const;

private:
  owned_descriptor descriptor_;
  progress failure_ = progress::failed; ///< The state without a descriptor.
};

}
