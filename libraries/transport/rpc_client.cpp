#include "coltsfootlock/transport/rpc_client.h"

#include "json_rpc_client/json_rpc_call.h"

namespace coltsfootlock {

std::optional<std::string>
call_rpc(http_client& http,
         const endpoint& server,
         const std::string& method,
         const std::string& params,
         const http_limits& limits,
         error& why)
{
  error_kind kind = error_kind::syntax;
  const auto sender = [&](const std::string& request, std::string& answer, std::string& reason) {
    error failure;
    const auto response = http.post(server, "/", request, limits, failure);
    if (!response) {
      kind = failure.kind;
      reason = failure.message;
      return false;
    }
    if (response->status != 200) {
      kind = error_kind::unavailable;
      reason = "status " + std::to_string(response->status);
      return false;
    }
    answer = response->body;
    return true;
  };
  std::string result;
  std::string reason;
  if (!json_rpc_call(method, params, sender, result, reason)) {
    why = { kind, "call " + method + " to " + to_string(server) + ": " + reason };
    return std::nullopt;
  }
  return result;
}

}
