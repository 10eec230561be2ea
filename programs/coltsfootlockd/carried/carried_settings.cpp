#include "carried/carried_settings.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

bool
read_times(const value_map& values, carried_settings& result, error& why)
{
  std::uint64_t heartbeat = static_cast<std::uint64_t>(result.steering.target_heartbeat.count());
  std::uint64_t lifetime = static_cast<std::uint64_t>(result.steering.flow_lifetime.count() / 1000);
  std::uint64_t grace = static_cast<std::uint64_t>(result.shutdown_grace.count() / 1000);
  if (!read_whole_number(values, "target-heartbeat", "ms", 10, 60000, heartbeat, why) ||
      !read_whole_number(values, "flow-lifetime-s", "s", 1, 86400, lifetime, why) ||
      !read_whole_number(values, "shutdown-grace-s", "s", 1, 600, grace, why)) {
    return false;
  }
  result.steering.target_heartbeat = milliseconds(static_cast<milliseconds::rep>(heartbeat));
  result.steering.flow_lifetime = seconds(static_cast<seconds::rep>(lifetime));
  result.follower.max_record_gap = std::max(result.follower.max_record_gap, 2 * result.steering.target_heartbeat);
  result.shutdown_grace = seconds(static_cast<seconds::rep>(grace));
  return true;
}

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
      !read_number(values, "link-rate-mbps", "Mbit/s", 0.1, 1e6, result.link_rate_mbps, why)) {
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
