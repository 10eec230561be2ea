#pragma once

#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/peer_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfootlock {

std::string
encode_peer_message(const peer_message& value);
std::optional<peer_message>
decode_peer_message(std::string_view bytes, error& why);

}
