#pragma once

#include "request_identity.h"

#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace coltsfootlock {

/// Peers to which idempotent requests were handed off, so that a cancel can be forwarded. Bounded; requests that do not
/// fit are not stored, because forwarding a cancel is best effort.
class hand_off_table
{
public:
  explicit hand_off_table(std::size_t limit)
    : limit_(limit)
  {
  }

  void insert_or_assign(const request_identity& request, const vm_id& peer, instant expires_at);

  /// The peer; null if the request is not in the table.
  const vm_id* find(const request_identity& request) const;
  void expire(instant now);

private:
  struct destination
  {
    vm_id peer;
    instant expires_at{};
  };

  std::size_t limit_;
  std::unordered_map<request_identity, destination, request_identity_hash> destinations_;
  std::set<std::pair<instant, request_identity>> by_expiry_;
};

}
