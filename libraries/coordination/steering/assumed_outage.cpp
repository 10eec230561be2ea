#include "coltsfootlock/coordination/steering/assumed_outage.h"

namespace coltsfootlock {

const char*
to_string(outage_sign value)
{
  switch (value) {
    case outage_sign::calls_failed:
      return "calls_failed";
    case outage_sign::records_gap:
      return "records_gap";
    case outage_sign::new_era:
      return "new_era";
    case outage_sign::reported_by_source:
      return "reported_by_source";
  }
  return "unknown";
}

}
