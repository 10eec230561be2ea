#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace coltsfootlock {

/// A TCP connection attempt to a target's address that checks whether its process runs. No data is sent.
struct reachability_check
{
  vm_id target;
  endpoint address;

  auto operator<=>(const reachability_check&) const = default;
};

enum class check_outcome : std::uint8_t
{
  accepted, ///< The process accepts connections.
  refused,  ///< The VM is reachable, but the process does not listen.
  silent,   ///< No answer in time.
  untried,  ///< This VM could not start the attempt.
};

inline constexpr std::size_t check_outcome_count = 4;

const char*
to_string(check_outcome value);

}
