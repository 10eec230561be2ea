#pragma once

#include "coltsfootlock/protocol/load_codec.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace coltsfootlock {

/// The field "load" of a watch response.
nlohmann::json
encode_load_field(const encoded_loads& loads);

/// The totals in a watch response. Empty if it has none, which is no error, or with the reason in `why` if the field is
/// malformed.
std::optional<load_totals>
decode_load_field(const nlohmann::json& response, error& why);

}
