#include "carried/carried_settings.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coltsfootlock {

namespace {

/// Longer times count as this one. Sums of several such times still fit into a `duration`.
constexpr milliseconds max_time = std::chrono::days(365);

/// The resolution of times; a time above 0 is never rounded to 0.
constexpr milliseconds min_time{ 1 };

/// 1 kbit/s, since members of the fleet state their rate in kbit/s and 0 means unknown.
constexpr double min_link_rate_mbps = 0.001;
constexpr double max_link_rate_mbps = 1e6;

bool
read_times(const value_map& values, carried_settings& result, error& why)
{
  steering_settings& steering = result.steering;
  if (!read_clamped_time(
        values, "target-heartbeat", unit_millisecond, min_time, max_time, steering.target_heartbeat, why) ||
      !read_clamped_time(values, "flow-lifetime-s", unit_second, min_time, max_time, steering.flow_lifetime, why) ||
      !read_clamped_time(
        values, "shutdown-grace-s", unit_second, milliseconds(0), max_time, result.shutdown_grace, why)) {
    return false;
  }
  result.follower.max_record_gap = std::max(result.follower.max_record_gap, 2 * steering.target_heartbeat);
  result.follower.max_interruption = steering.target_heartbeat;
  return true;
}

}

std::uint32_t
carried_settings::link_kbps() const
{
  return static_cast<std::uint32_t>(std::lround(link_rate_mbps * 1000));
}

std::string
carried_settings::log_fields() const
{
  return "target_heartbeat_ms=" + std::to_string(steering.target_heartbeat.count()) +
         " flow_lifetime_ms=" + std::to_string(steering.flow_lifetime.count()) +
         " shutdown_grace_ms=" + std::to_string(shutdown_grace.count()) + " link_kbps=" + std::to_string(link_kbps());
}

std::optional<carried_settings>
read_carried_settings(const value_map& values, error& why)
{
  carried_settings result;
  if (!read_name(values, "vm-id", result.steering.self, why) ||
      !read_name(values, "domain", result.steering.domain, why) ||
      !read_address(values, "packet-address", result.packet_address, why) ||
      !read_address(values, "ready-address", result.ready_address, why) ||
      !read_address(values, "platform", result.platform, why) ||
      !read_optional_address(values, "call-address", result.call_address, why) ||
      !read_optional_address(values, "metrics-address", result.metrics_address, why) ||
      !read_seeds(values, result.seeds, why) || !read_level(values, result.min_log_level, why) ||
      !read_times(values, result, why) ||
      !read_clamped_number(
        values, "link-rate-mbps", "Mbit/s", min_link_rate_mbps, max_link_rate_mbps, result.link_rate_mbps, why)) {
    return std::nullopt;
  }
  if (result.metrics_address == result.ready_address) {
    why = { error_kind::conflict,
            "--metrics-address and --ready-address are both " + to_string(result.ready_address) +
              "; give them different ports" };
    return std::nullopt;
  }
  return result;
}

}
