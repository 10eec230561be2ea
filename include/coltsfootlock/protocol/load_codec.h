#pragma once

#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/load_totals.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootlock {

/// Domain and rows of totals as MessagePack, about 9 bytes per row. Encoded apart from the rest of a response, so that
/// a daemon with many followers encodes them once.
std::string
encode_loads(const load_totals& totals);

/// The inverse, without number and age; empty with the reason in `why` if the bytes are malformed or out of bounds.
std::optional<load_totals>
decode_loads(std::string_view bytes, error& why);

/// Totals as a watch response carries them.
struct encoded_loads
{
  std::uint64_t number = 0; ///< Of the totals, for the follower's next request.
  milliseconds age{ 0 };
  std::string rows; ///< Result of `encode_loads`.

  auto operator<=>(const encoded_loads&) const = default;
};

/// The answer to a daemon of another domain: a MessagePack map with the field "load" of watch responses.
std::string
encode_load_answer(const encoded_loads& loads);

/// The inverse; empty with the reason in `why` if the bytes are malformed or out of bounds.
std::optional<load_totals>
decode_load_answer(std::string_view bytes, error& why);

/// Rows as TARGET:ANSWERS:MS, each followed by a comma, for a request; those beyond `max_bytes` are left out.
std::string
load_rows_text(const std::vector<target_load>& rows, std::size_t max_bytes);

/// The inverse; empty with the reason in `why` if the text is malformed or out of bounds.
std::optional<std::vector<target_load>>
read_load_rows(std::string_view text, error& why);

}
