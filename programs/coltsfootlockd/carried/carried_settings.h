#pragma once

#include "setting_values.h"

#include "coltsfootlock/coordination/steering/record_follower.h"
#include "coltsfootlock/coordination/steering/steering_settings.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Checked settings of a daemon that routes carried flows. docs/SETTINGS.md describes them.
struct carried_settings
{
  endpoint packet_address;
  endpoint ready_address;
  std::optional<endpoint> metrics_address;
  std::optional<endpoint> call_address; ///< Without it the daemon follows no other daemon.
  endpoint platform;
  std::vector<endpoint> seeds;
  log_level min_log_level = log_level::info;
  milliseconds shutdown_grace{ 6000 };
  double link_rate_mbps = 1000; ///< Rate of this VM's link.
  steering_settings steering;
  follower_settings follower;

  std::uint32_t link_kbps() const;

  /// The numbers in effect, after rounding, as the fields of a log line.
  std::string log_fields() const;

  auto operator<=>(const carried_settings&) const = default;
};

/// Empty with the reason in `why` if a value is missing or invalid.
std::optional<carried_settings>
read_carried_settings(const value_map& values, error& why);

}
