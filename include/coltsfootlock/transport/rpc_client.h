#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/transport/http_client.h"
#include "coltsfootlock/transport/http_limits.h"

#include <optional>
#include <string>

namespace coltsfootlock {

/// One JSON-RPC 2.0 call. `params` and the result are JSON texts. Empty with the reason in `why` if the server did not
/// answer within the limits or answered with an error.
std::optional<std::string>
call_rpc(http_client& http,
         const endpoint& server,
         const std::string& method,
         const std::string& params,
         const http_limits& limits,
         error& why);

}
