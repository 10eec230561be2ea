#include "coltsfootlock/coordination/steering/steering_decision.h"

#include "coltsfootlock/coordination/steering/reachability_check.h"

namespace coltsfootlock {

const char*
to_string(forward_reason value)
{
  switch (value) {
    case forward_reason::named:
      return "named";
    case forward_reason::placed:
      return "placed";
    case forward_reason::repeated:
      return "repeated";
    case forward_reason::moved:
      return "moved";
  }
  return "unknown";
}

const char*
to_string(flow_end_reason value)
{
  switch (value) {
    case flow_end_reason::no_service:
      return "no_service";
    case flow_end_reason::no_target:
      return "no_target";
    case flow_end_reason::target_gone:
      return "target_gone";
    case flow_end_reason::target_restarted:
      return "target_restarted";
    case flow_end_reason::target_dead:
      return "target_dead";
  }
  return "unknown";
}

const char*
to_string(check_outcome value)
{
  switch (value) {
    case check_outcome::accepted:
      return "accepted";
    case check_outcome::refused:
      return "refused";
    case check_outcome::silent:
      return "silent";
    case check_outcome::untried:
      return "untried";
  }
  return "unknown";
}

const char*
to_string(drop_reason value)
{
  switch (value) {
    case drop_reason::not_ready:
      return "not_ready";
    case drop_reason::stale_records:
      return "stale_records";
    case drop_reason::unknown_target:
      return "unknown_target";
    case drop_reason::ambiguous_target:
      return "ambiguous_target";
    case drop_reason::late_open:
      return "late_open";
    case drop_reason::outdated_copy:
      return "outdated_copy";
  }
  return "unknown";
}

}
