#pragma once

#include "coltsfootlock/coordination/steering/source_choice.h"
#include "coltsfootlock/state/record_call.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootlock {

/// Changes as MessagePack. Apart from the rest of an answer, so that a daemon with many followers encodes them once.
std::string
encode_changes(const std::vector<record_change>& changes);

/// An answer of one daemon to another that follows its records: a MessagePack map whose "changes" are encoded already.
std::string
encode_response(const std::string& changes, std::uint64_t revision, const response_age& age);

/// An answer that cannot be read is a failed call.
record_response
decode_page(std::string_view bytes);
record_response
decode_events(std::string_view bytes);

std::string
encode_member_list(const member_list& response);

/// Empty with the reason in `why` if the bytes are no such answer.
std::optional<member_list>
decode_member_list(std::string_view bytes, error& why);

}
