#include "delegation_table.h"

namespace coltsfootlock {

bool
delegation_table::admit(const vm_id& owner, std::uint64_t run, instant expires_at)
{
  if (requests_.size() >= limit_ || !requests_.try_emplace({ owner, run }, 0).second) {
    return false;
  }
  by_expiry_.emplace(expires_at, run_key{ owner, run });
  return true;
}

void
delegation_table::bind(const vm_id& owner, std::uint64_t run, std::uint64_t request)
{
  requests_[{ owner, run }] = request;
}

std::uint64_t
delegation_table::request_of(const vm_id& owner, std::uint64_t run) const
{
  const auto found = requests_.find({ owner, run });
  return found == requests_.end() ? 0 : found->second;
}

void
delegation_table::expire(instant now)
{
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    requests_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
}

}
