#include "coltsfootlock/coordination/steering/isolation_watch.h"

namespace coltsfootlock {

void
isolation_watch::on_request(instant now)
{
  if (unanswered_++ == 0) {
    unanswered_since_ = now;
  }
}

void
isolation_watch::on_progress()
{
  unanswered_ = 0;
  isolated_since_.reset();
}

void
isolation_watch::on_pause()
{
  unanswered_ = 0;
}

void
isolation_watch::tick(bool in_touch, instant now)
{
  if (!isolated_since_) {
    if (unanswered_ >= least_packets && now - unanswered_since_ >= longest_silence) {
      isolated_since_ = now;
    }
    return;
  }
  const duration time = now - *isolated_since_;
  if (time >= longest_isolation || (time >= shortest_isolation && in_touch)) {
    isolated_since_.reset();
    unanswered_ = 0;
  }
}

}
