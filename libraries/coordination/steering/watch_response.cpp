#include "coltsfootlock/coordination/steering/watch_response.h"

namespace coltsfootlock {

bool
response_is_due(const pending_watch& follower, const record_status& records, instant now)
{
  if (records.position > follower.position || records.renewed_at > follower.requested_at ||
      records.newest_observation > follower.observation) {
    return true;
  }
  const bool old = records.age > follower.max_age;
  if (old && records.renewing) {
    return false;
  }
  return now - follower.requested_at >= follower.max_wait || old;
}

}
