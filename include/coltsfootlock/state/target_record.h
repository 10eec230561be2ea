#pragma once

#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// A target's record in the platform's store, written by the target.
struct target_record
{
  target_vm vm;
  std::uint64_t tag = 0;          ///< Identifies the target in datagrams sent to it.
  std::uint32_t slots = 0;        ///< Maximum number of concurrent requests.
  milliseconds warm_up_left{ 0 }; ///< Time until the target can take full load, counted from the record's publication.

  auto operator<=>(const target_record&) const = default;
};

}
