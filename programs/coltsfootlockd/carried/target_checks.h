#pragma once

#include "coltsfootlock/coordination/steering/steering_engine.h"
#include "coltsfootlock/transport/connection_attempt.h"

#include <span>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

/// Opens connections to targets that the engine wants checked, and tells it the outcomes.
class target_checks
{
public:
  void start(const std::vector<reachability_check>& checks, instant now);

  void add_descriptors(std::vector<pollfd>& wanted) const;

  /// `polled`: the descriptors of the last `add_descriptors` after poll().
  void advance(std::span<const pollfd> polled, steering_engine& engine, instant now);

private:
  /// Checks at once; each holds a descriptor.
  static constexpr std::size_t most_checks = 64;

  struct running_check
  {
    vm_id target;
    connection_attempt attempt;
    instant deadline;
  };

  std::vector<running_check> running_;
};

}
