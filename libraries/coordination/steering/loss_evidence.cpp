#include "coltsfootlock/coordination/steering/loss_evidence.h"

#include "coltsfootlock/coordination/steering/steering_timing.h"

namespace coltsfootlock {

void
loss_evidence::add(instant started)
{
  if (failures_ > 0 && started - last_ > steering_timing::max_failed_check_gap) {
    clear();
  }
  if (failures_++ == 0) {
    first_ = started;
  }
  last_ = started;
}

void
loss_evidence::await_judgement(instant started, instant ended)
{
  newest_ = attempt{ started, ended };
  if (!oldest_) {
    oldest_ = newest_;
  }
}

bool
loss_evidence::is_complete() const
{
  return failures_ >= steering_timing::min_failed_checks && last_ - first_ >= steering_timing::min_failed_check_time;
}

bool
loss_evidence::is_confirmed(const attempt& one, instant confirmed_at) const
{
  return confirmed_at > one.ended &&
         confirmed_at >= first_ + steering_timing::alive_report_interval + steering_timing::report_transfer_time;
}

std::optional<instant>
loss_evidence::take_judgement(instant confirmed_at, instant now)
{
  if (newest_ && now - newest_->ended > steering_timing::max_judgement_delay) {
    newest_.reset();
  }
  if (oldest_ && now - oldest_->ended > steering_timing::max_judgement_delay) {
    oldest_ = newest_;
  }
  if (newest_ && is_confirmed(*newest_, confirmed_at)) {
    const instant result = newest_->started;
    oldest_.reset();
    newest_.reset();
    return result;
  }
  if (oldest_ && is_confirmed(*oldest_, confirmed_at)) {
    const instant result = oldest_->started;
    oldest_ = newest_;
    return result;
  }
  return std::nullopt;
}

}
