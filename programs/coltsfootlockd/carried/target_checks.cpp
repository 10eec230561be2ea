#include "carried/target_checks.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

#include <utility>

namespace coltsfootlock {

void
target_checks::start(const std::vector<reachability_check>& checks, instant now)
{
  for (const reachability_check& check : checks) {
    running_.push_back({ check.target,
                         running_.size() < most_checks ? connection_attempt(check.address) : connection_attempt(),
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

void
target_checks::advance(std::span<const pollfd> polled, steering_engine& engine, instant now)
{
  std::size_t position = 0;
  std::erase_if(running_, [&](const running_check& check) {
    const bool ready = position < polled.size() && polled[position].revents != 0;
    ++position;
    const auto state =
      ready || !check.attempt.is_open() ? check.attempt.state() : connection_attempt::progress::waiting;
    if (state == connection_attempt::progress::connected) {
      engine.on_check(check.target, check_outcome::accepted, now);
      return true;
    }
    if (state == connection_attempt::progress::refused) {
      engine.on_check(check.target, check_outcome::refused, now);
      return true;
    }
    // An attempt that this VM could not make proves nothing about the target.
    if (state == connection_attempt::progress::failed) {
      engine.on_check(check.target, check_outcome::accepted, now);
      return true;
    }
    if (now >= check.deadline) {
      engine.on_check(check.target, check_outcome::silent, now);
      return true;
    }
    return false;
  });
}

}
