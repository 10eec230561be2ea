#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/transport/owned_descriptor.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace coltsfootlock {

struct received_datagram
{
  endpoint sender;
  std::string content;
};

/// A non-blocking IPv4 datagram socket. Closes itself.
class udp_socket
{
public:
  /// Binds to `local`; port 0 takes a free port. Empty with the reason in `why` on failure.
  static std::optional<udp_socket> bind(const endpoint& local, error& why);

  /// The bound address, with the actual port.
  endpoint local() const;

  /// For poll() and epoll.
  int descriptor() const;

  /// False if the system did not take the datagram; datagrams may be lost in any case.
  bool send(const endpoint& to, std::string_view content);

  /// Empty when nothing waits.
  std::optional<received_datagram> receive();

  /// Receives into memory of the caller; a longer datagram is cut. Empty when nothing waits, else its size in bytes.
  std::optional<std::size_t> receive_into(std::span<char> memory);

private:
  explicit udp_socket(owned_descriptor descriptor);

  owned_descriptor descriptor_;
};

}
