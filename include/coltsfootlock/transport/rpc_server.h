#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/transport/http_response.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coltsfootlock {

/// Serves JSON-RPC 2.0 calls as POST / and plain pages as GET, on one address.
class rpc_server
{
public:
  /// Gets the params and returns the result, both as JSON text; empty with the reason in `why` becomes a JSON-RPC
  /// error. Called from several threads.
  using method = std::function<std::optional<std::string>(const std::string& params, error& why)>;
  using page = std::function<http_response()>;

  rpc_server();
  ~rpc_server();

  /// Before listen() only.
  void add_method(const std::string& name, method handler);
  void add_page(const std::string& path, page handler);

  /// False with the reason in `why` if the address cannot be bound.
  bool listen(const endpoint& address, error& why);
  void stop();

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}
