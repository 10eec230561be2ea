#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstdint>

namespace coltsfootlock {

/// A connection to open to a target's address, to learn whether its process is there. Nothing is sent over it.
struct reachability_check
{
  vm_id target;
  endpoint address;

  auto operator<=>(const reachability_check&) const = default;
};

enum class check_outcome : std::uint8_t
{
  accepted, ///< The process is there.
  refused,  ///< The VM is there, the process is not.
  silent,   ///< No answer in time.
  untried,  ///< This VM could not make the attempt.
};

const char*
to_string(check_outcome value);

}
