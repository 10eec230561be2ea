#pragma once

#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/peer_message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// One page of the response to the call `flows`.
struct flow_page
{
  static constexpr std::size_t max_records = 1000; ///< At most 256 KB of text.

  std::size_t next = 0; ///< Cursor of the next page; 0 after the last one.
  std::vector<flow_record> records;

  /// JSON with the records as the hexadecimal text of an encoded route_hints message.
  std::string to_json() const;
  static std::optional<flow_page> parse(const std::string& text, error& why);
};

}
