#include "packet.h"

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t head_bytes = 31;
constexpr std::uint32_t key = 0x5eed1234;

void
put(std::string& bytes, std::size_t at, std::uint64_t value, std::size_t width)
{
  for (std::size_t index = 0; index < width; ++index) {
    bytes[at + index] = static_cast<char>((value >> (8 * index)) & 0xffU);
  }
}

std::uint32_t
get(std::string_view bytes, std::size_t at, std::size_t width)
{
  std::uint32_t value = 0;
  for (std::size_t index = 0; index < width; ++index) {
    value |= static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[at + index])) << (8 * index);
  }
  return value;
}

std::uint32_t
sum_of(const packet& one)
{
  packet plain = one;
  plain.sum = 0;
  plain.echo = 0;
  std::uint32_t sum = 2166136261U ^ key;
  for (const char byte : to_bytes(plain)) {
    sum = (sum ^ static_cast<std::uint8_t>(byte)) * 16777619U;
  }
  return sum;
}

sockaddr_in
socket_address(std::uint32_t address, std::uint16_t port)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address);
  result.sin_port = htons(port);
  return result;
}

[[noreturn]] void
cannot_run(const std::string& what)
{
  std::fprintf(stderr, "cannot run: %s: %s\n", what.c_str(), std::strerror(errno));
  std::exit(2);
}

}

void
seal(packet& one)
{
  one.sum = sum_of(one);
}

bool
is_sealed(const packet& one)
{
  return one.sum == sum_of(one);
}

std::string
to_bytes(const packet& one)
{
  std::string bytes(head_bytes, '\0');
  put(bytes, 0, one.source_port, 2);
  put(bytes, 2, one.source, 4);
  put(bytes, 6, one.destination_port, 2);
  put(bytes, 8, one.destination, 4);
  put(bytes, 12, one.echo, 4);
  put(bytes, 16, one.data.size(), 2);
  put(bytes, 18, one.flags, 1);
  put(bytes, 19, one.sum, 4);
  put(bytes, 23, one.sequence, 4);
  put(bytes, 27, one.acknowledged, 4);
  return bytes + one.data;
}

std::optional<packet>
read_packet(std::string_view bytes)
{
  if (bytes.size() < head_bytes || bytes.size() != head_bytes + get(bytes, 16, 2)) {
    return std::nullopt;
  }
  packet one;
  one.source_port = static_cast<std::uint16_t>(get(bytes, 0, 2));
  one.source = get(bytes, 2, 4);
  one.destination_port = static_cast<std::uint16_t>(get(bytes, 6, 2));
  one.destination = get(bytes, 8, 4);
  one.echo = get(bytes, 12, 4);
  one.flags = static_cast<std::uint8_t>(get(bytes, 18, 1));
  one.sum = get(bytes, 19, 4);
  one.sequence = get(bytes, 23, 4);
  one.acknowledged = get(bytes, 27, 4);
  one.data = std::string(bytes.substr(head_bytes));
  return one;
}

int
bind_udp(std::uint32_t address, std::uint16_t port)
{
  const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int size = 1 << 20;
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  const sockaddr_in local = socket_address(address, port);
  if (socket < 0 || bind(socket, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0) {
    cannot_run("UDP " + address_text(address) + ":" + std::to_string(port));
  }
  return socket;
}

int
listen_tcp(std::uint32_t address, std::uint16_t port)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in local = socket_address(address, port);
  if (socket < 0 || bind(socket, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
      listen(socket, 256) != 0) {
    cannot_run("TCP " + address_text(address) + ":" + std::to_string(port));
  }
  return socket;
}

int
connect_tcp(std::uint32_t address, std::uint16_t port)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in server = socket_address(address, port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&server), sizeof(server)) != 0 && errno != EINPROGRESS) {
    close(socket);
    return -1;
  }
  return socket;
}

void
send_datagram(int socket, std::uint32_t address, std::uint16_t port, std::string_view bytes)
{
  const sockaddr_in to = socket_address(address, port);
  sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

std::optional<std::string>
receive_datagram(int socket)
{
  std::array<char, 2048> buffer{};
  const ssize_t size = recv(socket, buffer.data(), buffer.size(), 0);
  return size < 0 ? std::nullopt : std::optional(std::string(buffer.data(), static_cast<std::size_t>(size)));
}

std::string
address_text(std::uint32_t address)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%u.%u.%u.%u",
                address >> 24U,
                (address >> 16U) & 255U,
                (address >> 8U) & 255U,
                address & 255U);
  return text.data();
}

}
