#include "hand_off_table.h"

namespace coltsfootlock {

void
hand_off_table::insert_or_assign(const request_identity& request, const vm_id& peer, instant expires_at)
{
  const auto found = destinations_.find(request);
  if (found != destinations_.end()) {
    by_expiry_.erase({ found->second.expires_at, request });
    found->second = { peer, expires_at };
    by_expiry_.emplace(expires_at, request);
    return;
  }
  if (destinations_.size() >= limit_) {
    return;
  }
  destinations_[request] = { peer, expires_at };
  by_expiry_.emplace(expires_at, request);
}

const vm_id*
hand_off_table::find(const request_identity& request) const
{
  const auto found = destinations_.find(request);
  return found == destinations_.end() ? nullptr : &found->second.peer;
}

void
hand_off_table::expire(instant now)
{
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    destinations_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
}

}
