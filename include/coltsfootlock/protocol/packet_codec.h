#pragma once

#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/packet.h"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfootlock {

/// Encodes as one MessagePack array: version 1, kind, then the fields in the order of the struct.
std::string
encode_packet(const packet& value);

/// Empty with the reason in `why` unless the whole input is one valid packet within its size limits.
std::optional<packet>
decode_packet(std::string_view bytes, error& why);

}
