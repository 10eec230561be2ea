#include "run_table.h"

namespace coltsfootlock {

request_run&
run_table::open(std::uint64_t request, instant now, instant slot_release_time)
{
  const std::uint64_t id = boot_ | ++run_count_;
  request_run& run = runs_[id];
  run.id = id;
  run.request = request;
  run.started = now;
  run.slot_release_time = slot_release_time;
  by_expiry_.emplace(slot_release_time, id);
  return run;
}

request_run*
run_table::find(std::uint64_t id)
{
  const auto found = runs_.find(id);
  return found == runs_.end() ? nullptr : &found->second;
}

void
run_table::close(std::uint64_t id)
{
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  by_expiry_.erase({ found->second.slot_release_time, id });
  runs_.erase(found);
}

std::optional<std::uint64_t>
run_table::expired(instant now) const
{
  if (by_expiry_.empty() || by_expiry_.begin()->first > now) {
    return std::nullopt;
  }
  return by_expiry_.begin()->second;
}

}
