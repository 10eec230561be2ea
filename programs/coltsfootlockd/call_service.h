#pragma once

#include "call_counters.h"
#include "control_loop.h"
#include "settings.h"
#include "traffic_loop.h"

#include "coltsfootlock/transport/call_authentication.h"
#include "coltsfootlock/transport/rpc_server.h"

#include <functional>
#include <optional>
#include <string>

namespace coltsfootlock {

/// Serves the JSON-RPC methods for peers and operators, and the health pages.
class call_service
{
public:
  call_service(const settings& values, const control_loop& control, traffic_loop& traffic, call_counters& counters);

  /// False with the reason in `why` if the call address cannot be bound.
  bool listen(error& why);
  void stop();

private:
  /// Handles an authenticated call and returns the content of the response.
  using peer_method = std::function<std::optional<std::string>(const authenticated_call& call, error& why)>;

  void add_peer_method(const std::string& name, peer_method method);
  std::optional<std::string> handle_flows(const authenticated_call& call, error& why);
  std::optional<std::string> handle_explain(const std::string& params, error& why);
  std::optional<std::string> handle_status(error& why) const;

  const settings& settings_;
  const control_loop& control_;
  traffic_loop& traffic_;
  call_counters& counters_;
  call_authentication authentication_;
  rpc_server server_;
};

}
