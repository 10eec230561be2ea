#pragma once

#include "coltsfootlock/coordination/steering/reachability_check.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/transport/connection_attempt.h"

#include <span>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

struct check_result
{
  vm_id target;
  check_outcome outcome = check_outcome::accepted;

  auto operator<=>(const check_result&) const = default;
};

/// Runs the reachability checks that the engine requests.
class target_checks
{
public:
  void start(const std::vector<reachability_check>& checks, instant now);

  void add_descriptors(std::vector<pollfd>& wanted) const;

  /// Removes and returns completed checks. `polled`: the descriptors of the last `add_descriptors` after poll().
  std::vector<check_result> advance(std::span<const pollfd> polled, instant now);

private:
  struct running_check
  {
    vm_id target;
    connection_attempt attempt;
    instant deadline;
  };

  std::vector<running_check> running_;
};

}
