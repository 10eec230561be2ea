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
  std::uint64_t tag = 0; ///< Identifies the target in datagrams sent to it.
  /// Grows with each record that the target writes in an incarnation; 0 if unknown.
  std::uint64_t sequence = 0;
  std::uint32_t slots = 0;        ///< Maximum number of concurrent requests.
  milliseconds warm_up_left{ 0 }; ///< Time until the target can take full load, counted from the record's publication.

  auto operator<=>(const target_record&) const = default;
};

/// True if the target wrote `record` before `other`: in an earlier incarnation, or earlier in the same one.
inline bool
is_older(const target_record& record, const target_record& other)
{
  return record.vm.incarnation != other.vm.incarnation ? record.vm.incarnation < other.vm.incarnation
                                                       : record.sequence < other.sequence;
}

}
