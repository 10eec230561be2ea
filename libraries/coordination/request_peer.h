#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/vm_list.h"

#include <cstddef>

namespace coltsfootlock {

/// Another daemon in the current routing view.
struct request_peer
{
  vm_id id;
  endpoint address;
  std::size_t domain = 0;        ///< Position of its domain in order of name.
  bool in_service = false;       ///< Whether its domain is in service.
  bool reachable = false;        ///< Alive, and its domain is in service.
  bool accepts_requests = false; ///< Reachable and serving.
};

}
