#pragma once

#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <map>
#include <optional>
#include <vector>

namespace coltsfootlock {

/// Tracks from which peers of the domain a starting daemon still has to fetch its flow records.
class flow_pulls
{
public:
  /// Returns the next of `peers` to query, if a query is due.
  std::optional<vm_id> next(const std::vector<vm_id>& peers, instant now);

  void on_pulled(const vm_id& peer, bool complete, instant now);

private:
  struct pull
  {
    bool done = false;
    int attempts = 0;
    instant next{};
  };

  std::map<vm_id, pull> pulls_;
};

}
