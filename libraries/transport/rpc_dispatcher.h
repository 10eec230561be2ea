#pragma once

#include "coltsfootlock/transport/rpc_server.h"

#include <jsonrpccpp/server/abstractserver.h>

#include <map>
#include <string>

namespace coltsfootlock {

/// Calls the registered function of a JSON-RPC method.
class rpc_dispatcher : public jsonrpc::AbstractServer<rpc_dispatcher>
{
public:
  explicit rpc_dispatcher(jsonrpc::AbstractServerConnector& connector);

  void add(const std::string& name, rpc_server::method function);

  // NOLINTNEXTLINE(readability-identifier-naming)
  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override;

private:
  /// Required by the registration of the library; HandleMethodCall is overridden, so it is never called.
  void registered(const Json::Value& /*input*/, Json::Value& /*output*/) {}

  std::map<std::string, rpc_server::method> methods_;
};

}
