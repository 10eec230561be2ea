#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/transport/http_limits.h"
#include "coltsfootlock/transport/http_response.h"

#include <memory>
#include <optional>
#include <string>

namespace coltsfootlock {

/// Blocking HTTP calls. Each call uses a new connection, so a connection that went silent affects one call only.
/// Thread-safe.
class http_client
{
public:
  http_client();
  ~http_client();

  /// Empty with the reason in `why` if no complete answer came within the limits; any status is an answer.
  std::optional<http_response> get(const endpoint& server,
                                   const std::string& path,
                                   const http_limits& limits,
                                   error& why);
  std::optional<http_response> post(const endpoint& server,
                                    const std::string& path,
                                    const std::string& json,
                                    const http_limits& limits,
                                    error& why);

  /// Ends the running calls and fails all later ones.
  void stop();

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}
