#pragma once

#include "coltsfootlock/coordination/steering/source_choice.h"
#include "coltsfootlock/state/record_call.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootlock {

/// Answers of one daemon to another that follows its records, as MessagePack.
std::string
encode_page(const record_page& page);
std::string
encode_events(const record_events& events);

/// An answer that cannot be read is a failed call.
record_answer
decode_page(std::string_view bytes);
record_answer
decode_events(std::string_view bytes);

std::string
encode_members(const std::vector<fleet_member>& members);

/// Empty with the reason in `why` if the bytes are no list of members.
std::optional<std::vector<fleet_member>>
decode_members(std::string_view bytes, error& why);

}
