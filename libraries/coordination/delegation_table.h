#pragma once

#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace coltsfootlock {

/// Runs that owners of keys delegated to this daemon. A duplicate of such a message must not run again, whether the
/// first copy ran or was returned as not run.
class delegation_table
{
public:
  explicit delegation_table(std::size_t limit)
    : limit_(limit)
  {
  }

  /// Adds a run; false for a duplicate, and if the table is full. `expires_at` has to cover the longest delay of a
  /// duplicate.
  bool admit(const vm_id& owner, std::uint64_t run, instant expires_at);

  /// Sets the pending request that executes the run.
  void bind(const vm_id& owner, std::uint64_t run, std::uint64_t request);

  /// The pending request of the run; 0 for none.
  std::uint64_t request_of(const vm_id& owner, std::uint64_t run) const;

  void expire(instant now);

private:
  using run_key = std::pair<vm_id, std::uint64_t>;

  std::size_t limit_;
  std::map<run_key, std::uint64_t> requests_;
  std::multimap<instant, run_key> by_expiry_;
};

}
