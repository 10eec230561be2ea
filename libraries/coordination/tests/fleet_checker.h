#pragma once

#include "fake_fleet.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace coltsfootlock {

/// Checks the invariants of a simulated fleet after each step, over all daemons including paused ones.
class fleet_checker
{
public:
  explicit fleet_checker(fake_fleet& fleet);

  void check();

  /// Records that the target became cold at `when` and reported it to `observer`, a daemon of its domain.
  void on_cold_start(const vm_id& target, const std::string& observer, instant when);

private:
  struct cold_start
  {
    instant when{};
    std::string observer;
    bool propagated = false; ///< The observer ran without faults for long enough to inform its peers.
  };

  struct acceptance
  {
    std::string node;
    std::uint64_t boot_id = 0;
    instant last{};
  };

  void check_shares();
  std::uint32_t slots_in_use(const std::string& id, const vm_id& target, std::uint32_t share);
  void check_target(const vm_id& target, const std::string& domain);
  void update_cold_starts();
  void check_keys();
  void check_ownership_change(const std::string& key, const std::string& owner);
  void check_versions();
  instant owner_since(const std::string& key, const std::string& owner) const;

  fake_fleet& fleet_;
  std::map<vm_id, cold_start> cold_;
  std::map<std::pair<std::string, vm_id>, std::deque<std::pair<instant, std::uint32_t>>> shares_;
  std::map<std::string, std::map<std::string, acceptance>> accepted_; ///< By key and node.
};

}
