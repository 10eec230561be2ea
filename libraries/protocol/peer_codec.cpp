#include "coltsfootlock/protocol/peer_codec.h"

#include "packet_body.h"
#include "peer_fields.h"

#include <utility>

namespace coltsfootlock {

namespace {

constexpr std::uint8_t peer_version = 1;
constexpr std::size_t max_peer_message_bytes = 256 * 1024; // A page of flow records; datagrams are far smaller.

enum class peer_kind : std::uint8_t
{
  heartbeat = 0,
  forwarded_packet = 1,
  route_hints = 2,
};

void
begin(field_writer& writer, peer_kind kind, std::size_t fields)
{
  writer.begin(fields + 2);
  writer.number(peer_version);
  writer.enumeration(kind, peer_kind::route_hints);
}

template<typename codec_type, typename value_type>
void
describe_forwarding(codec_type& codec, value_type& value)
{
  codec.text(value.entry, max_name_bytes);
  codec.enumeration(value.purpose, forward_purpose::key_in_use);
  codec.number(value.hops);
  codec.flag(value.conclusive);
  codec.text(value.target, max_name_bytes);
  codec.text(value.account, max_name_bytes);
}

struct message_writer
{
  msgpack::sbuffer& buffer;

  void operator()(const heartbeat& value) const
  {
    field_writer writer(buffer);
    begin(writer, peer_kind::heartbeat, 15);
    describe_fields(writer, value);
  }

  void operator()(const forwarded_packet& value) const
  {
    field_writer writer(buffer);
    begin(writer, peer_kind::forwarded_packet, 7);
    describe_forwarding(writer, value);
    write_packet(buffer, value.content);
  }

  void operator()(const route_hints& value) const
  {
    field_writer writer(buffer);
    begin(writer, peer_kind::route_hints, 1);
    describe_fields(writer, value);
  }
};

template<typename message_type>
std::optional<peer_message>
read_message(field_reader& reader)
{
  message_type value;
  describe_fields(reader, value);
  if (!reader.ok()) {
    return std::nullopt;
  }
  return peer_message(std::move(value));
}

std::optional<peer_message>
read_forwarded(field_reader& reader, const msgpack::object& object, error& why)
{
  forwarded_packet value{ {}, {}, 0, true, {}, {}, open_packet{} };
  describe_forwarding(reader, value);
  if (!reader.ok()) {
    return std::nullopt;
  }
  if (object.via.array.size != 9) {
    reader.fail("a forwarded packet has 9 elements");
    return std::nullopt;
  }
  auto content = read_packet(object.via.array.ptr[8], why);
  if (!content) {
    return std::nullopt;
  }
  value.content = *std::move(content);
  return peer_message(std::move(value));
}

}

std::string
encode_peer_message(const peer_message& value)
{
  msgpack::sbuffer buffer(512);
  std::visit(message_writer{ buffer }, value);
  return { buffer.data(), buffer.size() };
}

std::optional<peer_message>
decode_peer_message(std::string_view bytes, error& why)
{
  const msgpack::object_handle handle = unpack_bounded(bytes, max_peer_message_bytes, why);
  if (!handle.zone()) {
    return std::nullopt;
  }
  field_reader reader(handle.get(), why);
  std::uint8_t version = 0;
  peer_kind kind = peer_kind::heartbeat;
  reader.number(version);
  reader.enumeration(kind, peer_kind::route_hints);
  if (reader.ok() && version != peer_version) {
    reader.fail("peer message version " + std::to_string(version) + " is not known; run one version in the fleet");
  }
  if (!reader.ok()) {
    return std::nullopt;
  }
  switch (kind) {
    case peer_kind::heartbeat:
      return read_message<heartbeat>(reader);
    case peer_kind::forwarded_packet:
      return read_forwarded(reader, handle.get(), why);
    case peer_kind::route_hints:
      return read_message<route_hints>(reader);
  }
  return std::nullopt;
}

}
