#include "coltsfootlock/transport/udp_socket.h"

#include "socket_address.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>

namespace coltsfootlock {

namespace {

constexpr std::size_t largest_datagram = 65536;
constexpr int socket_buffer_bytes = 4 * 1024 * 1024; // Bursts of a fabric exceed the default of 208 KiB.

}

std::optional<udp_socket>
udp_socket::bind(const endpoint& local, error& why)
{
  const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    why = { error_kind::unavailable, std::string("no datagram socket: ") + std::strerror(errno) };
    return std::nullopt;
  }
  udp_socket result{ owned_descriptor(descriptor) };
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof(socket_buffer_bytes));
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes, sizeof(socket_buffer_bytes));
  const sockaddr_in system = to_socket_address(local);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&system), sizeof(system)) != 0) {
    why = { error_kind::unavailable,
            "cannot bind " + to_string(local) + ": " + std::strerror(errno) +
              "; choose an address of this VM and a free port" };
    return std::nullopt;
  }
  return result;
}

udp_socket::udp_socket(owned_descriptor descriptor)
  : descriptor_(std::move(descriptor))
{
}

endpoint
udp_socket::local() const
{
  return bound_address(descriptor_.get());
}

int
udp_socket::descriptor() const
{
  return descriptor_.get();
}

bool
udp_socket::send(const endpoint& to, std::string_view content)
{
  const sockaddr_in system = to_socket_address(to);
  const ssize_t sent = ::sendto(
    descriptor_.get(), content.data(), content.size(), 0, reinterpret_cast<const sockaddr*>(&system), sizeof(system));
  return sent == static_cast<ssize_t>(content.size());
}

std::optional<received_datagram>
udp_socket::receive()
{
  thread_local std::array<char, largest_datagram> buffer;
  sockaddr_in system{};
  socklen_t length = sizeof(system);
  const ssize_t received =
    ::recvfrom(descriptor_.get(), buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&system), &length);
  if (received < 0) {
    return std::nullopt;
  }
  return received_datagram{ from_socket_address(system),
                            std::string(buffer.data(), static_cast<std::size_t>(received)) };
}

std::optional<std::size_t>
udp_socket::receive_into(std::span<char> memory)
{
  const ssize_t received = ::recv(descriptor_.get(), memory.data(), memory.size(), 0);
  if (received < 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(received);
}

}
