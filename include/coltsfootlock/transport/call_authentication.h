#pragma once

#include "coltsfootlock/protocol/datagram_seal.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/transport/authenticated_call.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Signs and checks JSON-RPC calls between daemons and their answers. The tag of a call covers the method, the sender,
/// the time, a random number and the arguments; the tag of an answer covers the tag of its call and the content.
/// Immutable, so safe from any thread.
class call_authentication
{
public:
  using wall_time = std::chrono::system_clock::time_point;

  /// A call is accepted within this time of its signing; the clocks of the VMs may differ by as much.
  static constexpr std::chrono::seconds window{ 30 };

  /// Signs with the first key and accepts all of them.
  call_authentication(vm_id self, std::vector<fleet_key> keys);

  /// The JSON text of the params of a call.
  std::string sign_call(const std::string& method, const std::string& arguments, wall_time now) const;
  std::optional<authenticated_call> open_call(const std::string& method,
                                              const std::string& params,
                                              wall_time now,
                                              error& why) const;

  /// The JSON text of the result of a call.
  std::string sign_answer(const std::string& call_tag, const std::string& content) const;

  /// The content of an answer to the call with these params.
  std::optional<std::string> open_answer(const std::string& params, const std::string& result, error& why) const;

private:
  vm_id self_;
  std::vector<fleet_key> keys_;
};

}
