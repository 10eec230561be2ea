#include "carried/target_checks.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

/// Returns the outcome of an attempt that has ended or timed out.
check_outcome
outcome_of(connection_attempt::progress state)
{
  switch (state) {
    case connection_attempt::progress::waiting:
      return check_outcome::silent;
    case connection_attempt::progress::refused:
      return check_outcome::refused;
    case connection_attempt::progress::connected:
      return check_outcome::accepted;
    case connection_attempt::progress::failed:
      break;
  }
  return check_outcome::untried;
}

}

void
target_checks::start(const std::vector<reachability_check>& checks, instant now)
{
  for (const reachability_check& check : checks) {
    running_.push_back({ check.target,
                         running_.size() < steering_timing::max_running_checks ? connection_attempt(check.address)
                                                                               : connection_attempt(),
                         now + steering_timing::check_timeout });
  }
}

void
target_checks::add_descriptors(std::vector<pollfd>& wanted) const
{
  for (const running_check& check : running_) {
    wanted.push_back({ check.attempt.descriptor(), POLLOUT, 0 });
  }
}

/// Looks at the newest checks first: if one of them has been answered when it is looked at, so have the older ones,
/// however long the process waits for its share of a core in between.
std::vector<check_result>
target_checks::advance(std::span<const pollfd> polled, instant now)
{
  std::vector<check_result> results;
  std::vector<running_check> remaining;
  for (std::size_t position = running_.size(); position-- > 0;) {
    running_check& check = running_[position];
    const bool ready = position < polled.size() && polled[position].revents != 0;
    const bool late = now >= check.deadline;
    if (!ready && !late && check.attempt.is_open()) {
      remaining.push_back(std::move(check));
      continue;
    }
    // poll() may have returned long before the deadline if the VM then waited for its share of a core.
    const auto state = check.attempt.state();
    if (state == connection_attempt::progress::waiting && !late) {
      remaining.push_back(std::move(check));
    } else {
      results.push_back({ check.target, outcome_of(state) });
    }
  }
  std::reverse(remaining.begin(), remaining.end());
  running_ = std::move(remaining);
  // Answers show that this VM's link works, so they are handled before the silence of others.
  std::stable_partition(
    results.begin(), results.end(), [](const check_result& result) { return result.outcome != check_outcome::silent; });
  return results;
}

}
