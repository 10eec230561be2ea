#pragma once

#include "coltsfootlock/coordination/steering/source_choice.h"
#include "coltsfootlock/protocol/load_codec.h"
#include "coltsfootlock/state/record_call.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootlock {

/// Encodes changes as MessagePack, separately from the rest of a response, so that a daemon with many followers encodes
/// them once.
std::string
encode_changes(const std::vector<record_change>& changes);

/// Encodes a response to a daemon that follows the records: a MessagePack map with the encoded changes as "changes".
/// Observations that targets are alive are a field of their own, which daemons of previous versions ignore.
/// `loads`: totals that the follower does not have; a daemon of an older version ignores them.
std::string
encode_response(const std::string& changes,
                const store_position& position,
                const response_age& age,
                const observation_list& observations,
                const std::optional<encoded_loads>& loads = std::nullopt);

/// A response that cannot be decoded counts as a failed call.
record_response
decode_page(std::string_view bytes);
record_response
decode_events(std::string_view bytes);

std::string
encode_member_list(const member_list& response);

/// Empty with the reason in `why` if the bytes are not a valid member list.
std::optional<member_list>
decode_member_list(std::string_view bytes, error& why);

}
