#include "daemon_calls.h"

#include "coltsfootlock/transport/http_client.h"
#include "coltsfootlock/transport/rpc_client.h"

#include <future>

namespace coltsfootlock {

namespace {

/// The timeouts add up to less than a second, so that a late connection without a response also ends within a second.
constexpr http_limits call_limits{ milliseconds(300), milliseconds(600), 4 * 1024 * 1024 };

daemon_response
call_daemon(const endpoint& address, const std::string& method, const std::string& params)
{
  daemon_response response;
  response.address = address;
  http_client http;
  const auto result = call_rpc(http, address, method, params, call_limits, response.why);
  if (!result) {
    return response;
  }
  auto value = nlohmann::json::parse(*result, nullptr, false);
  if (!value.is_object()) {
    response.why = { error_kind::wrong_type, to_string(address) + ": the response is not a JSON object" };
    return response;
  }
  response.result = std::move(value);
  return response;
}

}

std::vector<daemon_response>
call_daemons(const std::vector<endpoint>& addresses, const std::string& method, const nlohmann::json& params)
{
  std::vector<std::future<daemon_response>> pending;
  pending.reserve(addresses.size());
  const std::string text = params.dump();
  for (const endpoint& address : addresses) {
    pending.push_back(std::async(std::launch::async, &call_daemon, address, method, text));
  }
  std::vector<daemon_response> responses;
  responses.reserve(pending.size());
  for (auto& response : pending) {
    responses.push_back(response.get());
  }
  return responses;
}

}
