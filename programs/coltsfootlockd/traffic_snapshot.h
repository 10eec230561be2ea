#pragma once

#include "datagram_counters.h"

#include "coltsfootlock/coordination/traffic_engine.h"

#include <vector>

namespace coltsfootlock {

/// State of the traffic thread, published for other threads.
struct traffic_snapshot
{
  traffic_counters counters;
  datagram_counters datagrams;
  std::vector<target_use> use;
  std::vector<group_capacity> capacity;
  bool leaving = false;
  bool finished = false; ///< No request is queued or in flight. Valid only while `leaving` is set.
};

}
