#include "tcp_stream.h"

#include "socket_address.h"

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace coltsfootlock {

tcp_stream::tcp_stream(int descriptor)
  : descriptor_(descriptor)
{
}

tcp_stream
tcp_stream::connect(const endpoint& server)
{
  tcp_stream result(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!result.is_open()) {
    return result;
  }
  const int on = 1;
  ::setsockopt(result.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = to_socket_address(server);
  if (::connect(result.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    result.close();
  }
  return result;
}

bool
tcp_stream::is_readable() const
{
  pollfd wanted{ descriptor(), POLLIN, 0 };
  return ::poll(&wanted, 1, 0) > 0;
}

tcp_stream::state
tcp_stream::write(std::string& bytes)
{
  while (!bytes.empty()) {
    const ssize_t sent = ::send(descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0) {
      const bool later = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN || errno == EINPROGRESS;
      return later ? state::waiting : state::broken;
    }
    bytes.erase(0, static_cast<std::size_t>(sent));
  }
  return state::done;
}

tcp_stream::state
tcp_stream::read(char* memory, std::size_t capacity, std::size_t& size)
{
  const ssize_t received = ::recv(descriptor(), memory, capacity, 0);
  if (received > 0) {
    size = static_cast<std::size_t>(received);
    return state::done;
  }
  if (received == 0) {
    return state::broken;
  }
  const bool later = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN;
  return later ? state::waiting : state::broken;
}

}
