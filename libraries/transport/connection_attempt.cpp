#include "coltsfootlock/transport/connection_attempt.h"

#include "socket_address.h"

#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace coltsfootlock {

connection_attempt::connection_attempt(const endpoint& server)
  : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
  if (!is_open()) {
    return;
  }
  const sockaddr_in address = to_socket_address(server);
  if (::connect(descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    failure_ = errno == ECONNREFUSED ? progress::refused : progress::failed;
    descriptor_.close();
  }
}

connection_attempt::progress
connection_attempt::state() const
{
  if (!is_open()) {
    return failure_;
  }
  pollfd wanted{ descriptor(), POLLOUT, 0 };
  if (::poll(&wanted, 1, 0) == 0) {
    return progress::waiting;
  }
  int problem = 0;
  socklen_t length = sizeof(problem);
  if (::getsockopt(descriptor(), SOL_SOCKET, SO_ERROR, &problem, &length) != 0) {
    return progress::failed;
  }
  if (problem == 0) {
    return progress::connected;
  }
  return problem == ECONNREFUSED || problem == ECONNRESET ? progress::refused : progress::failed;
}

}
