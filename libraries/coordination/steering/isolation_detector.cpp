#include "coltsfootlock/coordination/steering/isolation_detector.h"

namespace coltsfootlock {

void
isolation_detector::on_request(instant now)
{
  if (unanswered_++ == 0) {
    unanswered_since_ = now;
  }
}

void
isolation_detector::on_progress()
{
  unanswered_ = 0;
  isolated_since_.reset();
}

void
isolation_detector::on_pause()
{
  unanswered_ = 0;
}

void
isolation_detector::tick(bool records_current, instant now)
{
  if (!isolated_since_) {
    if (unanswered_ >= min_unanswered_packets && now - unanswered_since_ >= min_silence) {
      isolated_since_ = now;
    }
    return;
  }
  const duration time = now - *isolated_since_;
  if (time >= max_isolation || (time >= min_isolation && records_current)) {
    isolated_since_.reset();
    unanswered_ = 0;
  }
}

}
