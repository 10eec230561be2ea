#include "coltsfootlock/coordination/steering/source_patience.h"

#include <algorithm>

namespace coltsfootlock {

milliseconds
max_accepted_age(const follower_settings& settings, age_tolerance tolerance)
{
  switch (tolerance) {
    case age_tolerance::short_time:
      return settings.max_successor_record_age;
    case age_tolerance::relay_time:
      return settings.max_relay_record_age;
    case age_tolerance::usual:
      return settings.max_peer_record_age;
    case age_tolerance::unlimited:
      break;
  }
  return std::chrono::hours(24);
}

instant
latest_peer_response(const follower_settings& settings,
                     age_tolerance tolerance,
                     std::optional<instant> confirmed_at,
                     bool store_failed,
                     instant now)
{
  if (!confirmed_at || store_failed || tolerance == age_tolerance::unlimited) {
    return instant::max();
  }
  const instant overdue_at = *confirmed_at + settings.max_followed_record_age;
  if (now >= overdue_at) {
    return instant::max();
  }
  const instant renewal_due = *confirmed_at + max_accepted_age(settings, tolerance);
  return now < renewal_due ? std::min(renewal_due + settings.age_report_time, overdue_at) : overdue_at;
}

}
