#include "coltsfootlock/coordination/steering/follower_answer.h"

namespace coltsfootlock {

bool
answer_is_due(const waiting_follower& follower, const relayed_records& records, milliseconds oldest, instant now)
{
  return records.revision > follower.revision || now - follower.asked_at >= follower.longest_wait ||
         records.age > oldest || records.renewed_at > follower.asked_at;
}

}
