#pragma once

#include "coltsfootlock/coordination/timing.h"
#include "coltsfootlock/protocol/datagram_seal.h"
#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/vm_list.h"
#include "coltsfootlock/transport/log_level.h"

#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Validated settings of one daemon. docs/SETTINGS.md describes them.
struct settings
{
  vm_id self;
  std::string domain;
  endpoint packet_address;
  endpoint peer_address;
  endpoint call_address;
  std::optional<endpoint> metrics_address;
  endpoint fabric;
  endpoint platform;
  std::vector<endpoint> seeds;
  std::vector<fleet_key> keys; ///< The key used for sealing, then the next key if one is set.
  log_level min_log_level = log_level::info;
  timing times;
};

}
