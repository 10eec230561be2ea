#pragma once

#include "coltsfootlock/state/vm_list.h"

#include <string>

namespace coltsfootlock {

/// A JSON-RPC call of another daemon whose tag was right.
struct authenticated_call
{
  vm_id sender;
  std::string arguments; ///< JSON text.
  std::string tag;       ///< Names the call in the tag of its answer.
};

}
