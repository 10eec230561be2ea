#pragma once

#include <compare>
#include <string>

namespace coltsfootlock {

enum class error_kind
{
  none,
  syntax,          ///< The input is not well-formed.
  missing_field,   ///< A required field is absent.
  wrong_type,      ///< A field has another type than documented.
  out_of_range,    ///< A value is outside its documented range.
  unknown_name,    ///< A name refers to nothing that is defined.
  duplicate_name,  ///< A name or address is defined twice.
  conflict,        ///< Two values contradict each other.
  too_large,       ///< The input exceeds its size limit.
  unauthenticated, ///< A seal is missing, wrong, or replayed.
  unavailable,     ///< The other side did not answer in time.
  stale,           ///< The input is older than what is in force.
  rate_limited,    ///< The other side refuses calls beyond a rate.
};

/// Why an operation gave no result. The message names the value at fault and the remedy.
struct error
{
  error_kind kind = error_kind::none;
  std::string message;

  auto operator<=>(const error&) const = default;
};

/// Name of an error kind as it appears in logs and metrics, for example "out_of_range".
const char*
to_string(error_kind kind);

}
