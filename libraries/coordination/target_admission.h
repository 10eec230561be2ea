#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "coltsfootlock/coordination/share.h"
#include "coltsfootlock/state/service.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

namespace coltsfootlock {

/// Limits the slots of one target that this daemon uses to its share of the allowance, lowered adaptively on overload,
/// timeouts and suspicion.
class target_admission
{
public:
  /// Applies the state of the target in a new view.
  void update(const target_view& target,
              const target_limits& limits,
              const vm_id& self,
              const std::shared_ptr<const std::vector<entry_set>>& sets);

  /// Marks the target as no longer listed in this domain.
  void mark_unlisted() { listed_ = false; }

  /// This daemon's part of the target's allowance.
  std::uint32_t share(instant now);

  /// The share, lowered by the adaptive limit and by suspicion.
  std::uint32_t limit(instant now);
  bool has_room(instant now) { return listed_ && !leaving() && in_flight_ < limit(now); }

  void on_start() { ++in_flight_; }
  void on_end() { --in_flight_; }

  /// Each returns true if the adaptive limit changed to a value worth a log line.
  bool on_success();
  bool on_shed(instant now);
  bool on_timeout(instant now);

  /// Applies the report in a packet from the target; true if it has to be passed to the control thread.
  bool on_report(const target_report& report, bool shed, instant now);

  const vm_id& id() const { return vm_.id; }
  const endpoint& address() const { return vm_.packet_address; }
  bool listed() const { return listed_; }
  bool leaving() const { return leaving_by_view_ || leaving_by_report_; }
  std::uint32_t in_flight() const { return in_flight_; }
  bool suspect(instant now) const { return now < suspect_until_; }
  std::uint32_t adaptive_limit(instant now);

private:
  static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

  bool lower_adaptive_limit(instant now);
  void restart_cold_phase(instant now);

  target_vm vm_;
  target_limits limits_;
  std::shared_ptr<const std::vector<entry_set>> sets_; ///< Replaced only when the sets change.
  vm_id self_;
  bool listed_ = false;
  bool leaving_by_view_ = false;
  bool leaving_by_report_ = false; ///< Reset by a new incarnation.
  std::uint64_t incarnation_ = 0;
  instant cold_since_{};
  std::uint32_t in_flight_ = 0;

  target_share share_allowance_{ unlimited, unlimited }; ///< The allowance from which share_ was computed.
  std::uint32_t share_ = 0;

  std::uint32_t adaptive_limit_ = unlimited;
  std::uint32_t successes_ = 0;
  instant last_lowered_{};
  std::uint32_t consecutive_timeouts_ = 0;
  instant suspect_until_{};
  seconds suspicion_time_{ 1 };
  target_condition condition_ = target_condition::unknown;
  instant last_report_{};
};

}
