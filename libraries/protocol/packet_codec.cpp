#include "coltsfootlock/protocol/packet_codec.h"

#include "packet_body.h"
#include "packet_fields.h"

#include <array>
#include <utility>

namespace coltsfootlock {

namespace {

constexpr std::uint8_t packet_version = 1;

// Elements of the array per kind, version and kind included; in the order of the variant.
constexpr std::array<std::size_t, std::variant_size_v<packet>> element_counts{ 6, 8, 10, 6, 9, 13, 10, 14, 14 };

void
check(const flow_key& flow, field_reader& reader)
{
  if (flow.caller.address == 0 || flow.caller.port == 0 || flow.service.address == 0 || flow.service.port == 0) {
    reader.fail("an address or port of the flow is 0; name the caller and the service");
  }
}

struct field_check
{
  field_reader& reader;

  template<typename kind_type>
  void operator()(const kind_type& value) const
  {
    check(value.flow, reader);
  }

  void operator()(const request_packet& value) const
  {
    check(value.flow, reader);
    if (value.attempt == 0 || value.deadline_ms == 0) {
      reader.fail("attempt and deadline_ms of a request are at least 1");
    }
  }

  void operator()(const answer_packet& value) const
  {
    check(value.flow, reader);
    if (value.segment_count == 0 || value.segment_count > max_answer_segments || value.segment >= value.segment_count) {
      reader.fail("an answer has 1 to " + std::to_string(max_answer_segments) + " segments, numbered from 0");
    }
  }
};

template<typename kind_type>
std::optional<packet>
read_kind(field_reader& reader)
{
  kind_type value;
  describe_fields(reader, value);
  if (reader.ok() && !reader.at_end()) {
    reader.fail("the packet has more fields than its kind");
  }
  if (reader.ok()) {
    field_check{ reader }(value);
  }
  if (!reader.ok()) {
    return std::nullopt;
  }
  return packet(std::move(value));
}

using kind_reader = std::optional<packet> (*)(field_reader&);

template<std::size_t... indices>
constexpr std::array<kind_reader, sizeof...(indices)>
make_kind_readers(std::index_sequence<indices...>)
{
  return { &read_kind<std::variant_alternative_t<indices, packet>>... };
}

constexpr auto kind_readers = make_kind_readers(std::make_index_sequence<std::variant_size_v<packet>>());

}

void
write_packet(msgpack::sbuffer& buffer, const packet& value)
{
  field_writer writer(buffer);
  writer.begin(element_counts[value.index()]);
  writer.number(packet_version);
  writer.number(static_cast<std::uint8_t>(value.index()));
  std::visit([&](const auto& kind) { describe_fields(writer, kind); }, value);
}

std::optional<packet>
read_packet(const msgpack::object& object, error& why)
{
  field_reader reader(object, why);
  std::uint8_t version = 0;
  std::uint8_t kind = 0;
  reader.number(version);
  reader.number(kind);
  if (!reader.ok()) {
    return std::nullopt;
  }
  if (version != packet_version || kind >= kind_readers.size()) {
    why = { error_kind::syntax,
            "packet version " + std::to_string(version) + " kind " + std::to_string(kind) +
              " is not known; send version 1 and a documented kind" };
    return std::nullopt;
  }
  return kind_readers[kind](reader);
}

std::string
encode_packet(const packet& value)
{
  msgpack::sbuffer buffer(256);
  write_packet(buffer, value);
  return { buffer.data(), buffer.size() };
}

std::optional<packet>
decode_packet(std::string_view bytes, error& why)
{
  const msgpack::object_handle handle = unpack_bounded(bytes, max_packet_bytes, why);
  if (!handle.zone()) {
    return std::nullopt;
  }
  return read_packet(handle.get(), why);
}

}
