#include "target_conditions.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

// The start of the cold allowance that a peer reports is shifted by the delay of its heartbeat. Smaller differences are
// ignored; otherwise the reports of two daemons to each other would postpone it forever.
constexpr milliseconds report_tolerance{ 500 };
// Without this limit, a target that sheds every request would cause one heartbeat per request.
constexpr milliseconds min_cold_repeat_interval{ 250 };
constexpr seconds recent_change{ 2 };

}

void
target_conditions::on_list(const vm_list& list, const std::string& domain, instant now)
{
  std::vector<vm_id> listed;
  for (const target_vm& vm : list.targets) {
    if (vm.domain != domain) {
      continue;
    }
    listed.push_back(vm.id);
    const auto position = conditions_.find(vm.id);
    if (position == conditions_.end()) {
      add(vm, !list_received_, now);
      continue;
    }
    condition& known = position->second;
    update_incarnation(vm.id, known, vm.incarnation, now);
    if (known.listed_leaving != vm.leaving) {
      known.listed_leaving = vm.leaving;
      decisions_.push_back(vm.id + (vm.leaving ? " is leaving according to the VM list"
                                               : " is no longer leaving according to the VM list"));
    }
  }
  std::sort(listed.begin(), listed.end());
  std::erase_if(conditions_,
                [&](const auto& entry) { return !std::binary_search(listed.begin(), listed.end(), entry.first); });
  list_received_ = true;
}

void
target_conditions::add(const target_vm& vm, bool first_list, instant now)
{
  condition added;
  added.incarnation = vm.incarnation;
  added.cold_since = now;
  added.changed = now;
  added.cold_since_assumed = first_list;
  added.listed_leaving = vm.leaving;
  conditions_[vm.id] = added;
  if (!first_list) {
    decisions_.push_back(vm.id + " is new in the list and treated as cold");
  }
}

void
target_conditions::update_incarnation(const vm_id& target, condition& known, std::uint64_t incarnation, instant now)
{
  if (incarnation <= known.incarnation) {
    return;
  }
  const bool identified = known.incarnation == 0;
  known.incarnation = incarnation;
  known.cold_since = now;
  known.changed = now;
  known.reported_leaving = false;
  known.last_report = target_condition::unknown;
  // The first observed incarnation may have been running for a long time; a peer may still report its age.
  known.cold_since_assumed = identified && known.cold_since_assumed;
  decisions_.push_back(target + " has incarnation " + std::to_string(incarnation) + " and is treated as cold");
}

bool
target_conditions::set_cold(const vm_id& target, condition& known, const char* reason, instant now)
{
  if (!known.cold_since_assumed && now - known.cold_since < min_cold_repeat_interval) {
    return false;
  }
  known.cold_since = now;
  known.changed = now;
  known.cold_since_assumed = false;
  decisions_.push_back(target + " is treated as cold: " + reason);
  return true;
}

bool
target_conditions::on_report(const vm_id& target, const target_report& report, bool shed, duration warm_up, instant now)
{
  const auto position = conditions_.find(target);
  if (position == conditions_.end()) {
    return false;
  }
  condition& known = position->second;
  if (report.incarnation != 0 && report.incarnation < known.incarnation) {
    return false;
  }
  bool notify_peers = report.incarnation > known.incarnation;
  update_incarnation(target, known, report.incarnation, now);

  const bool considered_warm = now >= known.cold_since + warm_up;
  const bool became_cold =
    report.condition == target_condition::cold && (considered_warm || known.last_report == target_condition::serving);
  if (report.condition != target_condition::unknown) {
    known.last_report = report.condition;
  }
  if (warm_up > duration::zero() && (shed || became_cold)) {
    notify_peers = set_cold(target, known, shed ? "it shed load" : "it reported a cold start", now) || notify_peers;
  }
  if (report.condition == target_condition::leaving && !known.reported_leaving) {
    known.reported_leaving = true;
    known.changed = now;
    decisions_.push_back(target + " reported that it is leaving");
    notify_peers = true;
  }
  return notify_peers;
}

void
target_conditions::on_peer_status(const target_status& status, instant now)
{
  const auto position = conditions_.find(status.target);
  if (position == conditions_.end() || status.incarnation < position->second.incarnation) {
    return;
  }
  condition& known = position->second;
  const instant cold_since = now - milliseconds(status.warm_ms);
  const bool newer = status.incarnation > known.incarnation;
  if (newer) {
    update_incarnation(status.target, known, status.incarnation, now);
  }
  if (newer || known.cold_since_assumed || cold_since > known.cold_since + report_tolerance) {
    decisions_.push_back(status.target + " was cold " + std::to_string(status.warm_ms) + " ms ago according to a peer");
    known.cold_since = cold_since;
    known.changed = now;
    known.cold_since_assumed = false;
  }
  if (status.leaving && !known.reported_leaving && !known.listed_leaving) {
    known.reported_leaving = true;
    known.changed = now;
    decisions_.push_back(status.target + " is leaving according to a peer");
  }
}

target_status
target_conditions::status_of(const vm_id& target, const condition& known, instant now)
{
  const auto warm = std::chrono::duration_cast<milliseconds>(std::max(now - known.cold_since, duration::zero()));
  const auto warm_ms = static_cast<std::uint32_t>(std::min<milliseconds::rep>(warm.count(), UINT32_MAX));
  return { target, known.incarnation, warm_ms, known.listed_leaving || known.reported_leaving };
}

std::vector<target_status>
target_conditions::statuses(std::size_t limit, duration max_warm_up, instant now)
{
  const auto reportable = [&](const condition& known) {
    return !known.cold_since_assumed || now - known.cold_since >= max_warm_up;
  };
  const auto recent = [&](const condition& known) { return now - known.changed < recent_change; };
  std::vector<target_status> result;
  for (const auto& [target, known] : conditions_) {
    if (result.size() < limit && recent(known) && reportable(known)) {
      result.push_back(status_of(target, known, now));
    }
  }
  auto position = conditions_.upper_bound(status_cursor_);
  for (std::size_t visited = 0; visited < conditions_.size() && result.size() < limit; ++visited) {
    if (position == conditions_.end()) {
      position = conditions_.begin();
    }
    const auto& [target, known] = *position++;
    status_cursor_ = target;
    if (!recent(known) && reportable(known)) {
      result.push_back(status_of(target, known, now));
    }
  }
  return result;
}

target_view
target_conditions::view_of(const target_vm& vm) const
{
  const auto position = conditions_.find(vm.id);
  if (position == conditions_.end()) {
    return { vm, vm.leaving, vm.incarnation, instant{} };
  }
  const condition& known = position->second;
  return { vm, known.listed_leaving || known.reported_leaving, known.incarnation, known.cold_since };
}

std::vector<std::string>
target_conditions::take_decisions()
{
  return std::exchange(decisions_, {});
}

}
