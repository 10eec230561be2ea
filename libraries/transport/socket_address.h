#pragma once

#include "coltsfootlock/state/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace coltsfootlock {

inline sockaddr_in
to_socket_address(const endpoint& value)
{
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_addr.s_addr = htonl(value.address);
  system.sin_port = htons(value.port);
  return system;
}

inline endpoint
from_socket_address(const sockaddr_in& system)
{
  return { ntohl(system.sin_addr.s_addr), ntohs(system.sin_port) };
}

/// The local address of a socket, with the actual port.
inline endpoint
bound_address(int descriptor)
{
  sockaddr_in system{};
  socklen_t length = sizeof(system);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&system), &length);
  return from_socket_address(system);
}

}
