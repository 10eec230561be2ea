#pragma once

#include "field_reader.h"
#include "field_writer.h"

#include "coltsfootlock/state/packet.h"

#include <optional>

namespace coltsfootlock {

/// Writes a packet as one MessagePack array at the end of the buffer.
void
write_packet(msgpack::sbuffer& buffer, const packet& value);

/// Reads and checks a packet from an unpacked object.
std::optional<packet>
read_packet(const msgpack::object& object, error& why);

}
