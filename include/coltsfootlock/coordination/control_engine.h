#pragma once

#include "coltsfootlock/coordination/control_action.h"
#include "coltsfootlock/coordination/timing.h"
#include "coltsfootlock/state/error.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Identity of this daemon and its initial peers.
struct control_identity
{
  vm_id self;
  std::string domain;
  std::uint64_t boot_id = 0;        ///< Random, not 0.
  std::vector<entry_vm> seeds = {}; ///< Peers from the settings; contacted until a VM list is received.
};

/// Makes the decisions of the control thread: membership, authority, shares, catalogue and VM list. Not thread-safe.
/// Each call returns the actions to carry out, in order.
class control_engine
{
public:
  control_engine(control_identity identity, timing times, instant now);
  ~control_engine();
  control_engine(control_engine&&) noexcept;

  std::vector<control_action> on_heartbeat(const heartbeat& message, instant now);

  /// Handles a validated catalogue from the platform or from a peer.
  std::vector<control_action> on_catalogue(std::shared_ptr<const catalogue> value, bool from_platform, instant now);
  std::vector<control_action> on_vm_list(std::shared_ptr<const vm_list> value, bool from_platform, instant now);

  /// Handles a platform response without a newer version; `version` is the current version of the platform.
  std::vector<control_action> on_platform_unchanged(published_record record, std::uint64_t version, instant now);

  /// A read of the platform failed.
  std::vector<control_action> on_read_failed(published_record record, const error& reason, instant now);

  /// A fetch from a peer failed.
  std::vector<control_action> on_fetch_failed(published_record record,
                                              const vm_id& peer,
                                              const error& reason,
                                              instant now);

  /// Handles the end of a pull of flow records; `complete` is false if the peer could not be queried.
  std::vector<control_action> on_flows_pulled(const vm_id& peer, bool complete, instant now);

  /// Handles a report of a target, from its packets or from its load endpoint.
  std::vector<control_action> on_target_report(const vm_id& target,
                                               const target_report& report,
                                               bool shed,
                                               instant now);

  /// Sets the free slots of this daemon's share per target group, as counted by the traffic thread.
  void on_capacity(std::vector<group_capacity> capacity);

  /// Starts a graceful shutdown and announces it to the peers.
  std::vector<control_action> begin_leaving(instant now);

  /// Called when nothing is in flight any more; releases the shares permanently.
  std::vector<control_action> on_traffic_finished(instant now);

  /// Must be called at least every 50 ms; a gap of more than 200 ms counts as a pause.
  std::vector<control_action> tick(instant now);

  /// The published view; null until a catalogue and a VM list have been received.
  std::shared_ptr<const routing_view> view() const;

  /// True once the daemon serves (readiness).
  bool serving() const;

  /// Reason of the latest refused input or failed read; empty without one.
  std::optional<error> last_reason() const;

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}
