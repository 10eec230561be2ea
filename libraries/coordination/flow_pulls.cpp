#include "flow_pulls.h"

namespace coltsfootlock {

namespace {

constexpr int max_attempts = 3;
constexpr milliseconds response_timeout{ 2000 };
constexpr milliseconds retry_delay{ 500 };

}

std::optional<vm_id>
flow_pulls::next(const std::vector<vm_id>& peers, instant now)
{
  for (const vm_id& peer : peers) {
    pull& state = pulls_[peer];
    if (!state.done && state.attempts < max_attempts && now >= state.next) {
      ++state.attempts;
      state.next = now + response_timeout;
      return peer;
    }
  }
  return std::nullopt;
}

void
flow_pulls::on_pulled(const vm_id& peer, bool complete, instant now)
{
  const auto position = pulls_.find(peer);
  if (position == pulls_.end()) {
    return;
  }
  position->second.done = position->second.done || complete;
  position->second.next = now + retry_delay;
}

}
