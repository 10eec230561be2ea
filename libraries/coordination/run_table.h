#pragma once

#include "request_run.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace coltsfootlock {

/// Runs in progress, by run id. A run id is unique per daemon and boot: boot id in the upper half, counter in the
/// lower.
class run_table
{
public:
  void set_boot(std::uint64_t boot_id) { boot_ = boot_id << 32U; }

  request_run& open(std::uint64_t request, instant now, instant slot_release_time);
  request_run* find(std::uint64_t id);
  void close(std::uint64_t id);

  /// The run with the earliest release time if that has passed.
  std::optional<std::uint64_t> expired(instant now) const;
  std::size_t size() const { return runs_.size(); }

private:
  std::uint64_t boot_ = 0;
  std::uint32_t run_count_ = 0;
  std::unordered_map<std::uint64_t, request_run> runs_;
  std::set<std::pair<instant, std::uint64_t>> by_expiry_;
};

}
