#include "target_admission.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

constexpr milliseconds lowering_interval{ 250 };
constexpr std::uint32_t successes_per_step = 20;
constexpr std::uint32_t timeouts_until_suspect = 3;
constexpr seconds initial_suspicion_time{ 1 };
constexpr seconds max_suspicion_time{ 30 };
// Repeated "cold" reports and shed requests of a target are passed on at this interval, not with each packet.
constexpr milliseconds report_interval{ 250 };

}

void
target_admission::update(const target_view& target,
                         const target_limits& limits,
                         const vm_id& self,
                         const std::shared_ptr<const std::vector<entry_set>>& sets)
{
  if (target.incarnation > incarnation_) {
    incarnation_ = target.incarnation;
    leaving_by_report_ = false;
  }
  // The later start of the cold phase wins: the view may be older than the reports received directly from the target.
  cold_since_ = std::max(cold_since_, target.cold_since);
  leaving_by_view_ = target.leaving || target.vm.leaving;
  vm_ = target.vm;
  limits_ = limits;
  self_ = self;
  listed_ = true;
  if (sets_ != sets) {
    sets_ = sets;
    share_allowance_ = { unlimited, unlimited };
  }
}

std::uint32_t
target_admission::share(instant now)
{
  const target_share allowance = allowance_at(limits_, cold_since_, now);
  if (allowance != share_allowance_) {
    share_allowance_ = allowance;
    share_ = share_of(allowance, *sets_, self_, vm_.id).slots;
  }
  return share_;
}

std::uint32_t
target_admission::adaptive_limit(instant now)
{
  return std::min(share(now), adaptive_limit_);
}

std::uint32_t
target_admission::limit(instant now)
{
  const std::uint32_t bound = adaptive_limit(now);
  return suspect(now) ? std::min(bound, 1U) : bound;
}

bool
target_admission::lower_adaptive_limit(instant now)
{
  successes_ = 0;
  if (now - last_lowered_ < lowering_interval) {
    return false;
  }
  const std::uint32_t lowered = std::max(1U, adaptive_limit(now) / 2);
  const bool changed = lowered < adaptive_limit(now);
  last_lowered_ = now;
  adaptive_limit_ = lowered;
  return changed;
}

bool
target_admission::on_success()
{
  consecutive_timeouts_ = 0;
  suspect_until_ = {};
  suspicion_time_ = initial_suspicion_time;
  if (adaptive_limit_ == unlimited || ++successes_ < successes_per_step) {
    return false;
  }
  successes_ = 0;
  ++adaptive_limit_;
  // The bound is the full limit instead of the share, because the share is small while the target is cold.
  if (adaptive_limit_ < limits_.slots) {
    return false;
  }
  adaptive_limit_ = unlimited;
  return true;
}

bool
target_admission::on_shed(instant now)
{
  consecutive_timeouts_ = 0;
  return lower_adaptive_limit(now);
}

bool
target_admission::on_timeout(instant now)
{
  const bool lowered = lower_adaptive_limit(now);
  if (++consecutive_timeouts_ < timeouts_until_suspect || suspect(now)) {
    return lowered;
  }
  suspect_until_ = now + suspicion_time_;
  suspicion_time_ = std::min(suspicion_time_ * 2, max_suspicion_time);
  return true;
}

void
target_admission::restart_cold_phase(instant now)
{
  cold_since_ = std::max(cold_since_, now);
}

bool
target_admission::on_report(const target_report& report, bool shed, instant now)
{
  const bool empty = report.incarnation == 0 && report.condition == target_condition::unknown && !shed;
  if (empty || report.incarnation < incarnation_) {
    return false;
  }
  bool changed = report.condition != condition_;
  if (report.incarnation > incarnation_) {
    incarnation_ = report.incarnation;
    leaving_by_report_ = false;
    adaptive_limit_ = unlimited;
    restart_cold_phase(now);
    changed = true;
  }
  condition_ = report.condition;
  leaving_by_report_ = leaving_by_report_ || report.condition == target_condition::leaving;
  const bool cold = shed || report.condition == target_condition::cold;
  if (cold) {
    restart_cold_phase(now);
  }
  if (!changed && !(cold && now - last_report_ >= report_interval)) {
    return false;
  }
  last_report_ = now;
  return true;
}

}
