#pragma once

#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// A target as it describes itself in the platform's records.
struct target_record
{
  target_vm vm;
  std::uint64_t tag = 0;          ///< The number by which the target recognises packets that are meant for it.
  std::uint32_t slots = 0;        ///< Requests that run at once.
  milliseconds warm_up_left{ 0 }; ///< Time until the target bears its full load, counted from the record's publication.

  auto operator<=>(const target_record&) const = default;
};

}
