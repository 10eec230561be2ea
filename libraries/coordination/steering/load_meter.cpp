#include "coltsfootlock/coordination/steering/load_meter.h"

#include "coltsfootlock/state/load_totals.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

load_meter::load_meter(milliseconds phase)
  : phase_(phase % load_window)
{
}

load_meter::window_number
load_meter::window_of(instant now) const
{
  return (now.time_since_epoch() - phase_) / load_window;
}

void
load_meter::advance(instant now)
{
  const window_number window = window_of(now);
  if (!current_) {
    current_ = window;
  }
  if (window <= *current_) {
    return;
  }
  complete_.emplace();
  if (window == *current_ + 1) {
    complete_->reserve(counts_.size());
    for (const auto& [target, count] : counts_) {
      const auto taken = std::chrono::round<milliseconds>(count.taken).count();
      complete_->push_back({ target, count.answers, static_cast<std::uint64_t>(taken) });
    }
    std::sort(complete_->begin(), complete_->end());
  }
  counts_.clear();
  current_ = window;
}

void
load_meter::on_answer(const vm_id& target, duration taken, instant now)
{
  advance(now);
  answer_count& count = counts_[target];
  if (count.answers < load_limits::max_answers) {
    ++count.answers;
    count.taken += std::clamp<duration>(taken, duration(0), load_limits::max_answer_time);
  }
}

std::optional<std::vector<target_load>>
load_meter::take_window(instant now)
{
  advance(now);
  return std::exchange(complete_, std::nullopt);
}

void
load_meter::on_pause(instant now)
{
  counts_.clear();
  complete_.reset();
  current_ = window_of(now);
}

}
