#pragma once

#include "coltsfootlock/coordination/routing_view.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace coltsfootlock {

/// State of the targets of this daemon's domain: incarnation, start of the cold allowance, leaving.
class target_conditions
{
public:
  /// Updates the targets of this domain from a list. Targets of the first list are treated as cold until a peer reports
  /// their age; targets that a later list adds are cold from `now` on.
  void on_list(const vm_list& list, const std::string& domain, instant now);

  /// Handles a report of the target itself. Returns true if the peers must be notified immediately.
  bool on_report(const vm_id& target, const target_report& report, bool shed, duration warm_up, instant now);

  /// Handles the state of a target that a peer of the domain reported.
  void on_peer_status(const target_status& status, instant now);

  /// Up to `limit` entries for a heartbeat: recent changes first, then the others in turn. A target with an assumed age
  /// is omitted until the age exceeds `max_warm_up`; earlier, peers would treat warm targets as cold.
  std::vector<target_status> statuses(std::size_t limit, duration max_warm_up, instant now);

  /// The entry of the routing view for a listed target.
  target_view view_of(const target_vm& vm) const;

  /// Decisions since the last call, for the log.
  std::vector<std::string> take_decisions();

private:
  struct condition
  {
    std::uint64_t incarnation = 0;
    instant cold_since{};
    instant changed{};
    bool cold_since_assumed = false; ///< cold_since was not observed; it is the time of the first list.
    bool listed_leaving = false;
    bool reported_leaving = false;
    target_condition last_report = target_condition::unknown;
  };

  void add(const target_vm& vm, bool first_list, instant now);
  void update_incarnation(const vm_id& target, condition& known, std::uint64_t incarnation, instant now);
  bool set_cold(const vm_id& target, condition& known, const char* reason, instant now);
  static target_status status_of(const vm_id& target, const condition& known, instant now);

  std::map<vm_id, condition> conditions_;
  std::vector<std::string> decisions_;
  vm_id status_cursor_;
  bool list_received_ = false;
};

}
