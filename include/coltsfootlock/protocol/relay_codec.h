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
encode_answer(const std::string& changes, std::uint64_t revision, const answer_age& age);

/// An answer that cannot be read is a failed call.
record_answer
decode_page(std::string_view bytes);
record_answer
decode_events(std::string_view bytes);

std::string
encode_introduction(const fleet_introduction& answer);

/// Empty with the reason in `why` if the bytes are no such answer.
std::optional<fleet_introduction>
decode_introduction(std::string_view bytes, error& why);

}
