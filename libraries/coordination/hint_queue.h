#pragma once

#include "coltsfootlock/state/peer_message.h"
#include "coltsfootlock/state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace coltsfootlock {

/// Batches route hints per peer within a byte budget. Hints beyond the budget are dropped: a hint only saves a hop, and
/// a later packet of the flow offers it again.
class hint_queue
{
public:
  explicit hint_queue(std::size_t bytes_per_second);

  /// Returns false if the budget does not allow the hint.
  bool add(std::uint32_t peer, flow_record record, instant now);

  /// Removes and returns the batches that are due.
  std::vector<std::pair<std::uint32_t, route_hints>> take_due(instant now);

private:
  struct batch
  {
    instant since{};
    std::size_t bytes = 0;
    route_hints hints;
  };

  void accrue(instant now);

  double bytes_per_second_;
  double budget_ = 0;
  instant accrued_{};
  std::map<std::uint32_t, batch> batches_;
};

}
