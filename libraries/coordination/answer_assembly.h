#pragma once

#include "coltsfootlock/state/packet.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Collects the segments of the answer of one run.
class answer_assembly
{
public:
  /// False for a duplicate, for a segment that is inconsistent with earlier ones, and beyond the size limits.
  bool add(const answer_packet& segment);
  bool complete() const { return !segments_.empty() && received_ == segments_.size(); }

  /// Moves out the payloads in order; call once when complete.
  std::vector<std::string> take();

private:
  std::vector<std::optional<std::string>> segments_;
  std::size_t received_ = 0;
  std::size_t bytes_ = 0;
};

}
