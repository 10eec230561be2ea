#include "carried/settings_reloader.h"

#include "command_line.h"

#include <utility>

namespace coltsfootlock {

namespace {

/// True if a setting differs that is used at the start only.
bool
needs_restart(const carried_settings& left, const carried_settings& right)
{
  return left.packet_address != right.packet_address || left.ready_address != right.ready_address ||
         left.metrics_address != right.metrics_address || left.call_address != right.call_address ||
         left.steering.self != right.steering.self || left.steering.domain != right.steering.domain ||
         left.link_kbps() != right.link_kbps() || left.min_log_level != right.min_log_level;
}

}

settings_reloader::settings_reloader(value_map given, carried_settings current)
  : given_(std::move(given))
  , current_(std::move(current))
{
}

reload_outcome
settings_reloader::reload()
{
  error why;
  const auto values = effective_values(given_, why);
  auto read = values ? read_carried_settings(*values, why) : std::nullopt;
  if (!read) {
    ++refusals_[why.kind];
    const bool repeated = refusal_ == why;
    refusal_ = why;
    return settings_refused{ why, repeated };
  }
  refusal_.reset();
  if (*read == current_) {
    return settings_unchanged{};
  }
  const bool restart = needs_restart(current_, *read);
  current_ = std::move(*read);
  return settings_changed{ current_, restart };
}

}
