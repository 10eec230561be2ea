#include "coltsfootlock/coordination/steering/load_participation.h"

#include <cmath>

namespace coltsfootlock {

namespace {

/// Groups with less are forgotten: one answer of 5 ms in ten seconds.
constexpr double min_outstanding = 0.0005;

}

/// The mean less `deviations` of its standard deviations. The sum of a random number of durations, which vary as much
/// as their mean, has the relative variance 2 / (number of answers).
double
load_participation::certain_part(const group_mean& mean)
{
  const double answers = mean.answers * (2 - newest_weight) / newest_weight;
  if (answers < min_answers) {
    return 0;
  }
  return mean.outstanding * (1 - deviations * std::sqrt(2 / answers));
}

bool
load_participation::on_window(const std::vector<group_load>& groups, std::size_t daemons, instant now)
{
  for (auto& [group, mean] : means_) {
    mean.outstanding *= 1 - newest_weight;
    mean.answers *= 1 - newest_weight;
  }
  for (const group_load& seen : groups) {
    group_mean& mean = means_[seen.group];
    mean.outstanding += newest_weight * seen.outstanding;
    mean.answers += newest_weight * static_cast<double>(seen.answers);
    mean.slots = seen.slots;
  }
  std::erase_if(means_, [](const auto& item) { return item.second.outstanding < min_outstanding; });
  bool exceeded = false;
  for (const auto& [group, mean] : means_) {
    if (certain_part(mean) * static_cast<double>(daemons) > limit * static_cast<double>(mean.slots)) {
      loaded_until_ = now + hold;
      group_ = group;
      exceeded = true;
    }
  }
  return exceeded;
}

void
load_participation::on_pause()
{
  means_.clear();
  loaded_until_ = instant{};
}

}
