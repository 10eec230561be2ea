// Packets of the platform: the head of 31 bytes that PROTOCOL.md shows, and the data behind it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace review {

inline constexpr std::uint8_t flag_reset = 2;
inline constexpr std::uint8_t flag_syn = 8;
inline constexpr std::uint8_t flag_fin = 16;
inline constexpr std::uint8_t flag_ack = 128;

struct packet
{
  std::uint32_t source = 0;
  std::uint16_t source_port = 0;
  std::uint32_t destination = 0;
  std::uint16_t destination_port = 0;
  std::uint32_t echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t sum = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::string data;
};

/// Sets the sum over all fields but `echo`.
void
seal(packet& one);

bool
is_sealed(const packet& one);

std::string
to_bytes(const packet& one);

std::optional<packet>
read_packet(std::string_view bytes);

/// A UDP socket that is bound to an address in host byte order; ends the program with status 2 if it is taken.
int
bind_udp(std::uint32_t address, std::uint16_t port);

/// A TCP listener, likewise.
int
listen_tcp(std::uint32_t address, std::uint16_t port);

/// Starts to connect; the descriptor does not block. Negative if that failed at once.
int
connect_tcp(std::uint32_t address, std::uint16_t port);

void
send_datagram(int socket, std::uint32_t address, std::uint16_t port, std::string_view bytes);

/// Empty if nothing is waiting.
std::optional<std::string>
receive_datagram(int socket);

std::string
address_text(std::uint32_t address);

}
