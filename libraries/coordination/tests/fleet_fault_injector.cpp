#include "fleet_fault_injector.h"

#include "coltsfootlock/coordination/invariant.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace coltsfootlock {

namespace {

// Exceeds the platform lag and the time to fetch a record from a peer.
constexpr seconds change_propagation_time{ 8 };
// The margin of the hold-off, 400 ms, must cover this lag, the delay of a message and an undetected pause.
constexpr milliseconds max_lag_when_cut_off{ 100 };

}

fleet_fault_injector::fleet_fault_injector(std::uint64_t seed)
  : fleet_(seed)
  , checker_(fleet_)
{
  for (const char* id : { "a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2", "c3" }) {
    fleet_.add_node(id, std::string(1, id[0]));
  }
  listed_ = { "a1", "a2", "a3", "b1", "b2", "c1", "c2", "c3" };
  for (const char* id : { "ta1", "ta2", "tb1", "tc1" }) {
    targets_.push_back({ id, std::string(1, id[1]), false, "shop", {}, {}, 1 });
  }
  fleet_.loss = 0.1;
  fleet_.duplication = 0.1;
  fleet_.max_delay = milliseconds(5 + random_below(100));
  publish_list();
  fleet_.publish_catalogue({});
  for (const std::string& id : listed_) {
    fleet_.start(id);
  }
  fleet_.after_step = [this] { checker_.check(); };
}

std::size_t
fleet_fault_injector::random_below(std::size_t bound)
{
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(fleet_.random);
}

const std::string&
fleet_fault_injector::random_node()
{
  return std::next(fleet_.nodes.begin(), static_cast<std::ptrdiff_t>(random_below(fleet_.nodes.size())))->first;
}

bool
fleet_fault_injector::no_recent_change() const
{
  return fleet_.now - changed_ > change_propagation_time;
}

bool
fleet_fault_injector::cut_off(const std::string& domain) const
{
  return fleet_.isolated_domains.contains(domain) ||
         std::any_of(fleet_.nodes.begin(), fleet_.nodes.end(), [&](const auto& entry) {
           return entry.second.vm.domain == domain && entry.second.isolated;
         });
}

void
fleet_fault_injector::run_random_action()
{
  switch (random_below(9)) {
    case 0:
    case 1:
      change_list();
      break;
    case 2:
      change_catalogue();
      break;
    case 3:
      isolate_node();
      break;
    case 4:
      isolate_domain();
      break;
    case 5:
      inject_platform_fault();
      break;
    case 6:
      pause_or_restart();
      break;
    case 7:
      inject_cold_start();
      break;
    default:
      inject_read_faults();
      break;
  }
  fleet_.run(milliseconds(100 + random_below(random_below(2) == 0 ? 800 : 6000)));
  if (random_below(4) == 0) {
    end_faults();
  }
}

void
fleet_fault_injector::publish_list()
{
  fleet_.publish_list({ listed_.begin(), listed_.end() }, targets_);
  changed_ = fleet_.now;
}

void
fleet_fault_injector::change_list()
{
  if (fleet_.platform_down || fleet_.platform_frozen) {
    return;
  }
  // Makes large changes and often reverts them, so that lagging daemons skip sets that others have settled on.
  std::set<std::string> changed;
  if (random_below(3) == 0 && !previous_list_.empty()) {
    changed = previous_list_;
  } else {
    changed = listed_;
    const std::string domain = fleet_.domains[random_below(fleet_.domains.size())];
    std::erase_if(changed, [&](const std::string& id) { return id.front() == domain.front(); });
    std::vector<std::string> candidates;
    for (const auto& [id, node] : fleet_.nodes) {
      if (node.vm.domain == domain) {
        candidates.push_back(id);
      }
    }
    std::shuffle(candidates.begin(), candidates.end(), fleet_.random);
    candidates.resize(2 + random_below(candidates.size() - 1));
    changed.insert(candidates.begin(), candidates.end());
  }
  previous_list_ = std::exchange(listed_, changed);
  for (const std::string& id : listed_) {
    if (!fleet_.nodes.at(id).engine) {
      fleet_.start(id);
    }
  }
  publish_list();
}

void
fleet_fault_injector::change_catalogue()
{
  if (fleet_.platform_down || fleet_.platform_frozen) {
    return;
  }
  std::vector<std::string> out;
  if (random_below(2) == 0) {
    out.push_back(fleet_.domains[random_below(fleet_.domains.size())]);
  }
  fleet_.publish_catalogue(out);
  changed_ = fleet_.now;
}

void
fleet_fault_injector::isolate_node()
{
  const std::string id = random_node();
  fake_node& node = fleet_.nodes.at(id);
  if (cut_off(node.vm.domain) || fleet_.platform_down || fleet_.platform_frozen) {
    return;
  }
  // Without the platform, the other daemons of the domain would be a majority that is cut off.
  for (auto& [name, other] : fleet_.nodes) {
    if (other.vm.domain == node.vm.domain) {
      other.platform_reachable = true;
      other.platform_hangs = false;
      other.platform_lag = std::min<duration>(other.platform_lag, max_lag_when_cut_off);
    }
  }
  node.isolated = true;
  node.platform_reachable = random_below(2) == 0;
}

void
fleet_fault_injector::isolate_domain()
{
  const std::string domain = fleet_.domains[random_below(fleet_.domains.size())];
  if (cut_off(domain) || fleet_.platform_down || fleet_.platform_frozen) {
    return;
  }
  const bool platform = random_below(2) == 0;
  for (auto& [id, node] : fleet_.nodes) {
    if (node.vm.domain == domain) {
      node.platform_reachable = platform;
      node.platform_hangs = false;
      node.platform_lag = std::min<duration>(node.platform_lag, max_lag_when_cut_off);
    }
  }
  fleet_.isolated_domains.insert(domain);
}

void
fleet_fault_injector::inject_platform_fault()
{
  const bool split = std::any_of(
    fleet_.domains.begin(), fleet_.domains.end(), [&](const std::string& domain) { return cut_off(domain); });
  if (split || !no_recent_change()) {
    return;
  }
  if (random_below(2) == 0) {
    fleet_.platform_down = true;
  } else {
    fleet_.platform_frozen = fleet_.now;
  }
}

void
fleet_fault_injector::inject_read_faults()
{
  fake_node& node = fleet_.nodes.at(random_node());
  if (cut_off(node.vm.domain)) {
    return;
  }
  node.platform_reachable = random_below(3) != 0;
  node.platform_hangs = random_below(3) == 0;
  node.platform_lag = milliseconds(random_below(random_below(2) == 0 ? 1500 : 20000));
}

void
fleet_fault_injector::pause_or_restart()
{
  const std::string id = random_node();
  if (!listed_.contains(id)) {
    return;
  }
  switch (random_below(3)) {
    case 0:
      fleet_.pause(id, milliseconds(300 + random_below(12000)));
      break;
    case 1:
      fleet_.start(id);
      break;
    default:
      fleet_.stop(id);
      break;
  }
}

void
fleet_fault_injector::inject_cold_start()
{
  target_vm& target = targets_[random_below(targets_.size())];
  std::vector<std::string> observers;
  for (const auto& [id, node] : fleet_.nodes) {
    const auto view = fleet_.view(id);
    const bool reachable = fleet_.running(node) && !node.isolated;
    if (reachable && node.vm.domain == target.domain && view && view->targets.contains(target.id)) {
      observers.push_back(id);
    }
  }
  if (observers.empty()) {
    return;
  }
  const bool restarted = random_below(2) == 0;
  target.incarnation += restarted ? 1 : 0;
  const target_report report{ target.incarnation, restarted ? target_condition::serving : target_condition::cold };
  const std::string& observer = observers[random_below(observers.size())];
  fleet_.report(observer, target.id, report, !restarted);
  checker_.on_cold_start(target.id, observer, fleet_.now);
}

void
fleet_fault_injector::end_faults()
{
  fleet_.platform_down = false;
  fleet_.platform_frozen.reset();
  fleet_.isolated_domains.clear();
  for (auto& [id, node] : fleet_.nodes) {
    node.isolated = false;
    node.platform_reachable = true;
    node.platform_hangs = false;
    if (!node.engine && listed_.contains(id)) {
      fleet_.start(id);
    }
  }
}

void
fleet_fault_injector::recover()
{
  end_faults();
  for (auto& [id, node] : fleet_.nodes) {
    node.platform_lag = std::min<duration>(node.platform_lag, max_lag_when_cut_off);
  }
  // Covers the longest pause, a hanging watch, the key hold-off, and the warm-up after a restart.
  fleet_.run(seconds(45));
  check_all_serve();
  check_new_catalogue();
}

void
fleet_fault_injector::check_all_serve()
{
  for (const std::string& id : listed_) {
    const fake_node& node = fleet_.nodes.at(id);
    check_invariant(fleet_.spends(id) && node.engine->serving(), "all_serve_again", id);
    check_invariant(fleet_.view(id)->spending_sets.size() == 1, "all_settle_again", id);
  }
  for (const target_vm& target : targets_) {
    std::uint32_t slots = 0;
    for (const std::string& id : listed_) {
      slots += fleet_.nodes.at(id).vm.domain == target.domain ? fleet_.share(id, target.id).slots : 0;
    }
    check_invariant(slots == fleet_.limits.slots, "all_shares_usable", target.id + " has " + std::to_string(slots));
  }
  for (int index = 0; index < 12; ++index) {
    const std::string key = "key-" + std::to_string(index);
    const bool owned =
      std::any_of(listed_.begin(), listed_.end(), [&](const std::string& id) { return fleet_.owns(id, key); });
    check_invariant(owned, "every_key_has_an_owner", key);
  }
}

void
fleet_fault_injector::check_new_catalogue()
{
  fleet_.publish_catalogue({});
  changed_ = fleet_.now;
  fleet_.run(seconds(4));
  const std::uint64_t newest = fleet_.view(*listed_.begin())->services->version;
  for (const std::string& id : listed_) {
    check_invariant(fleet_.view(id)->services->version == newest, "new_catalogue_within_seconds", id);
  }
}

}
