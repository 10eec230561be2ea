#pragma once

#include "fake_fleet.h"
#include "fleet_checker.h"

#include <set>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Injects random faults and changes into a simulated fleet of three domains.
///
/// Combinations in which the guarantees do not hold are excluded:
/// - all daemons restart while the platform is stale (known limit of the design);
/// - the only listed VM of a domain is cut off while the platform replaces it (known limit of the design);
/// - a majority of a domain's old set, or a daemon that only a stale platform confirms, is cut off from the daemons
///   that receive a new list: both sides then have authority, each under a different set. So no list or catalogue
///   changes while a majority may be cut off, and the platform lags by less than the hold-off allows for daemons that
///   are cut off.
class fleet_fault_injector
{
public:
  explicit fleet_fault_injector(std::uint64_t seed);

  /// Applies one random fault or change, and runs the fleet for a random time.
  void run_random_action();

  /// Ends all faults, waits, and asserts that the whole fleet serves and that all shares are usable.
  void recover();

private:
  std::size_t random_below(std::size_t bound);
  const std::string& random_node();
  bool no_recent_change() const;
  bool cut_off(const std::string& domain) const;
  void change_list();
  void change_catalogue();
  void isolate_node();
  void isolate_domain();
  void inject_platform_fault();
  void inject_read_faults();
  void pause_or_restart();
  void inject_cold_start();
  void end_faults();
  void publish_list();
  void check_all_serve();
  void check_new_catalogue();

  fake_fleet fleet_;
  fleet_checker checker_;
  std::set<std::string> listed_;
  std::set<std::string> previous_list_; ///< The list before the last change.
  std::vector<target_vm> targets_;
  instant changed_{};
};

}
