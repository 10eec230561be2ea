#pragma once

#include <functional>
#include <string>

namespace coltsfootlock {

/// Sends the text of a JSON-RPC request and takes the text of the answer; false with the reason in `why`.
using json_rpc_sender = std::function<bool(const std::string& request, std::string& answer, std::string& why)>;

/// Makes a JSON-RPC 2.0 call with libjsonrpccpp. Its client headers need C++14, so this header uses nothing newer.
/// False with the reason in `why` if sending failed or the answer is an error.
bool
json_rpc_call(const std::string& method,
              const std::string& params,
              const json_rpc_sender& sender,
              std::string& result,
              std::string& why);

}
