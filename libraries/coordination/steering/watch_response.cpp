#include "coltsfootlock/coordination/steering/watch_response.h"

namespace coltsfootlock {

bool
response_is_due(const pending_watch& follower, const record_status& records, milliseconds max_age, instant now)
{
  return records.revision > follower.revision || now - follower.requested_at >= follower.max_wait ||
         records.age > max_age || records.renewed_at > follower.requested_at;
}

}
