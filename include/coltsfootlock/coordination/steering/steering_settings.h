#pragma once

#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstddef>
#include <string>

namespace coltsfootlock {

/// What the decisions on carried flows depend on besides the platform's records.
struct steering_settings
{
  std::string self;   ///< Name of this VM; spreads equal choices of several daemons.
  std::string domain; ///< Failure domain of this VM.

  /// Interval of the targets' own reports to the platform, as the platform states it.
  milliseconds target_heartbeat{ 1000 };

  /// Age up to which the records may be used to tell a caller that a service does not exist. Below the shortest time in
  /// which a catalogue has to be in force.
  milliseconds max_record_age_for_refusal{ 2500 };

  /// Flows are forgotten after this time without packets, unless the catalogue states a time.
  milliseconds flow_idle{ 15000 };

  /// Flows older than this may be forgotten; the platform states it.
  milliseconds flow_lifetime{ 60000 };

  /// Bounds the memory for flows; about 150 bytes each.
  std::size_t max_flows = 50000;

  auto operator<=>(const steering_settings&) const = default;
};

}
