#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfootlock {

struct http_response
{
  int status = 0;
  std::string body;
  std::optional<std::uint64_t> version; ///< The header X-Version, if it is a number.
};

}
