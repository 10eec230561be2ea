#pragma once

#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstddef>
#include <string>

namespace coltsfootlock {

/// Settings of the steering engine.
struct steering_settings
{
  std::string self;   ///< Name of this VM; daemons break ties between equal targets differently by it.
  std::string domain; ///< Failure domain of this VM.

  /// Interval of the targets' heartbeats to the platform, as configured on the platform.
  milliseconds target_heartbeat{ 1000 };

  /// Maximum age of the records for resetting a flow because its service does not exist. Below the shortest time in
  /// which a catalogue has to be in force.
  milliseconds max_record_age_for_refusal{ 2500 };

  /// Flows are removed after this time without packets, unless the catalogue sets a time.
  milliseconds flow_idle{ 15000 };

  /// Age beyond which flows need not be kept, as configured on the platform. Targets that are gone are kept this long,
  /// within the limits of steering_engine::gone_target_retention().
  milliseconds flow_lifetime{ 60000 };

  /// Capacity of the flow table; about 150 bytes per flow.
  std::size_t max_flows = 50000;

  auto operator<=>(const steering_settings&) const = default;
};

}
