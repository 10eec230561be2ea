#pragma once

#include "coltsfootlock/state/catalogue.h"
#include "coltsfootlock/state/flow_key.h"
#include "coltsfootlock/state/store_position.h"
#include "coltsfootlock/state/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// The catalogue in force, by address, and the failure domains that operators took out of service. The highest version
/// of the catalogue wins.
class service_directory
{
public:
  /// False if the version in force is equal or higher.
  bool publish(std::shared_ptr<const catalogue> value);

  /// False if the position is not newer than the last one of the domain, or the state is unchanged.
  bool switch_domain(const std::string& domain, bool in_service, const store_position& position);

  /// A full list of the records follows. Domains that it does not list as out of service are in service.
  void begin_snapshot();

  /// The list is complete as of `position`. Domains out of service that a list of a higher era lacks stay so at least
  /// until `outage_grace_end`, since the store's older copy may lack their withdrawal.
  void end_snapshot(const store_position& position, instant outage_grace_end = {});

  /// Puts such domains back into service once the records are confirmed as of the end of their grace period, which a
  /// later outage renews. Returns their names.
  std::vector<std::string> tick(std::optional<instant> confirmed_at, instant outage_grace_end);

  /// Null if there is no such service.
  const service* find(const endpoint& address) const;

  /// The target group for a new flow. All daemons choose the same group for every copy of the flow's first packet.
  const std::string& group_for(const service& wanted, const flow_key& flow) const;

  bool in_service(const std::string& domain) const;

  /// New flows per second that a cold target of a group may get; empty if the catalogue sets no limit.
  std::optional<double> cold_rate(const std::string& target_group) const;

  const catalogue* current() const { return catalogue_.get(); }

private:
  struct domain_state
  {
    bool in_service = true;
    store_position position;
    std::uint64_t snapshot = 0;
    std::optional<instant> retained_until; ///< Set while it is out of service although the last list lacks that.
  };

  std::shared_ptr<const catalogue> catalogue_;
  std::map<endpoint, const service*> by_address_;
  std::map<std::string, domain_state> domains_;
  std::uint64_t snapshot_ = 0;
};

}
