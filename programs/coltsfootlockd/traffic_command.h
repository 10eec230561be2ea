#pragma once

#include "coltsfootlock/coordination/control_action.h"
#include "coltsfootlock/coordination/traffic_engine.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootlock {

/// Adds flow records that were pulled from a peer.
struct adopt_records
{
  std::vector<flow_record> records;
};

/// Runs `read` on the engine in the traffic thread and passes its result to the thread that waits for it.
struct traffic_query
{
  std::function<std::string(const traffic_engine&, instant)> read;
  std::shared_ptr<std::promise<std::string>> result;
};

/// Commands of other threads to the traffic thread.
using traffic_command = std::variant<send_heartbeat, adopt_records, traffic_query>;

}
