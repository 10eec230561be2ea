#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"

#include <httplib.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <string>
#include <thread>

namespace coltsfootlock {

/// Connects the JSON-RPC server library to cpp-httplib, on one address. The connector of the library binds to all
/// addresses.
class rpc_connector : public jsonrpc::AbstractServerConnector
{
public:
  rpc_connector();
  ~rpc_connector() override;

  httplib::Server& server() { return server_; }

  bool bind(const endpoint& address, error& why);
  bool StartListening() override;                                               // NOLINT(readability-identifier-naming)
  bool StopListening() override;                                                // NOLINT(readability-identifier-naming)
  bool SendResponse(const std::string& response, void* http_response) override; // NOLINT(readability-identifier-naming)

private:
  void end();

  httplib::Server server_;
  std::thread thread_;
};

}
