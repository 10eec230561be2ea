#pragma once

#include "carried/carried_settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace coltsfootlock {

struct settings_unchanged
{
  auto operator<=>(const settings_unchanged&) const = default;
};

struct settings_changed
{
  carried_settings settings;
  bool needs_restart = false; ///< Some of the changes take effect at the next start only.

  auto operator<=>(const settings_changed&) const = default;
};

struct settings_refused
{
  error why;
  bool repeated = false; ///< The previous attempt was refused for the same reason.

  auto operator<=>(const settings_refused&) const = default;
};

using reload_outcome = std::variant<settings_unchanged, settings_changed, settings_refused>;

/// Reloads the settings of a running daemon. Settings that are refused leave the previous ones in effect.
class settings_reloader
{
public:
  /// `given`: flags and environment, which name the settings file and take precedence over it.
  settings_reloader(value_map given, carried_settings current);

  /// Reads the settings file and checks all values.
  reload_outcome reload();

  /// The settings that were accepted last.
  const carried_settings& current() const { return current_; }

  /// False from a refusal until settings are accepted.
  bool last_successful() const { return !refusal_.has_value(); }

  /// Refused attempts by reason.
  const std::map<error_kind, std::uint64_t>& refusals() const { return refusals_; }

private:
  const value_map given_;
  carried_settings current_;
  std::optional<error> refusal_;
  std::map<error_kind, std::uint64_t> refusals_;
};

}
