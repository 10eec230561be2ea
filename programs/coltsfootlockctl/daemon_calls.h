#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// The response of one daemon, or the error if there is none.
struct daemon_response
{
  endpoint address;
  std::optional<nlohmann::json> result;
  error why;
};

/// Calls a method of several daemons at once. Returns within a second, in the order of the addresses.
std::vector<daemon_response>
call_daemons(const std::vector<endpoint>& addresses, const std::string& method, const nlohmann::json& params);

}
