#include "coltsfootlock/transport/connection_attempt.h"

#include "socket_address.h"

#include <cerrno>
#include <utility>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coltsfootlock {

connection_attempt::connection_attempt(const endpoint& server)
  : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
  if (descriptor_ < 0) {
    return;
  }
  const sockaddr_in address = to_socket_address(server);
  if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    failure_ = errno == ECONNREFUSED ? progress::refused : progress::failed;
    ::close(std::exchange(descriptor_, -1));
  }
}

connection_attempt::connection_attempt(connection_attempt&& other) noexcept
  : descriptor_(std::exchange(other.descriptor_, -1))
  , failure_(other.failure_)
{
}

connection_attempt&
connection_attempt::operator=(connection_attempt&& other) noexcept
{
  std::swap(descriptor_, other.descriptor_);
  std::swap(failure_, other.failure_);
  return *this;
}

connection_attempt::~connection_attempt()
{
  if (descriptor_ >= 0) {
    ::close(descriptor_);
  }
}

connection_attempt::progress
connection_attempt::state() const
{
  if (descriptor_ < 0) {
    return failure_;
  }
  pollfd wanted{ descriptor_, POLLOUT, 0 };
  if (::poll(&wanted, 1, 0) == 0) {
    return progress::waiting;
  }
  int problem = 0;
  socklen_t length = sizeof(problem);
  if (::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &problem, &length) != 0) {
    return progress::failed;
  }
  if (problem == 0) {
    return progress::connected;
  }
  return problem == ECONNREFUSED || problem == ECONNRESET ? progress::refused : progress::failed;
}

}
