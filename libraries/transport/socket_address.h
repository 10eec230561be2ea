#pragma once

#include "coltsfootlock/state/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>

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

}
