#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/packet.h"
#include "coltsfootlock/state/peer_message.h"
#include "coltsfootlock/state/service.h"

namespace coltsfootlock {

const char*
to_string(error_kind kind)
{
  switch (kind) {
    case error_kind::none:
      return "none";
    case error_kind::syntax:
      return "syntax";
    case error_kind::missing_field:
      return "missing_field";
    case error_kind::wrong_type:
      return "wrong_type";
    case error_kind::out_of_range:
      return "out_of_range";
    case error_kind::unknown_name:
      return "unknown_name";
    case error_kind::duplicate_name:
      return "duplicate_name";
    case error_kind::conflict:
      return "conflict";
    case error_kind::too_large:
      return "too_large";
    case error_kind::unauthenticated:
      return "unauthenticated";
    case error_kind::unavailable:
      return "unavailable";
    case error_kind::stale:
      return "stale";
    case error_kind::rate_limited:
      return "rate_limited";
  }
  return "invalid";
}

const char*
to_string(service_class value)
{
  switch (value) {
    case service_class::urgent:
      return "urgent";
    case service_class::normal:
      return "normal";
    case service_class::bulk:
      return "bulk";
  }
  return "invalid";
}

const char*
to_string(reset_reason value)
{
  switch (value) {
    case reset_reason::unknown_flow:
      return "unknown_flow";
    case reset_reason::domain_out:
      return "domain_out";
    case reset_reason::target_lost:
      return "target_lost";
    case reset_reason::no_service:
      return "no_service";
    case reset_reason::no_capacity:
      return "no_capacity";
    case reset_reason::closed_by_target:
      return "closed_by_target";
  }
  return "invalid";
}

const char*
to_string(run_outcome value)
{
  switch (value) {
    case run_outcome::not_run:
      return "not_run";
    case run_outcome::may_have_run:
      return "may_have_run";
  }
  return "invalid";
}

const char*
to_string(refusal_reason value)
{
  switch (value) {
    case refusal_reason::overloaded:
      return "overloaded";
    case refusal_reason::deadline:
      return "deadline";
    case refusal_reason::no_target:
      return "no_target";
    case refusal_reason::leaving:
      return "leaving";
    case refusal_reason::target_lost:
      return "target_lost";
    case refusal_reason::owner_unreachable:
      return "owner_unreachable";
    case refusal_reason::owner_changed:
      return "owner_changed";
    case refusal_reason::too_old:
      return "too_old";
    case refusal_reason::cancelled:
      return "cancelled";
    case refusal_reason::no_service:
      return "no_service";
    case refusal_reason::no_authority:
      return "no_authority";
    case refusal_reason::cold:
      return "cold";
    case refusal_reason::key_conflict:
      return "key_conflict";
  }
  return "invalid";
}

const char*
to_string(target_condition value)
{
  switch (value) {
    case target_condition::unknown:
      return "unknown";
    case target_condition::serving:
      return "serving";
    case target_condition::cold:
      return "cold";
    case target_condition::leaving:
      return "leaving";
  }
  return "invalid";
}

const char*
to_string(daemon_state value)
{
  switch (value) {
    case daemon_state::starting:
      return "starting";
    case daemon_state::serving:
      return "serving";
    case daemon_state::leaving:
      return "leaving";
  }
  return "invalid";
}

}
