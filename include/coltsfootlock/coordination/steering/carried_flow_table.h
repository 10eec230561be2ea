#pragma once

#include "coltsfootlock/state/carried_packet.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace coltsfootlock {

/// State of a carried flow as observed by this daemon. Forwarding does not depend on it: packets name their target, so
/// a daemon without this state forwards them as well.
struct carried_flow
{
  vm_id target;
  instant opened; ///< Time of the first packet that this daemon received.
  instant last_packet;
  instant last_progress;          ///< Last packet that acknowledged new data of the target.
  instant request_sent;           ///< Last packet with new data of the caller; unset if its time is not known.
  std::uint32_t acknowledged = 0; ///< Highest position of the target's stream that the caller acknowledged.
  std::uint32_t sent_up_to = 0;   ///< Highest position of the caller's stream that passed this daemon.
  bool answered = false;          ///< A packet of the caller showed that the target answered.
  bool answer_pending = false;    ///< The caller sent data and has acknowledged no new data since.
  bool closing = false;
};

struct flow_key_hash
{
  std::size_t operator()(const flow_key& key) const { return static_cast<std::size_t>(hash_of(key)); }
};

/// A table of carried flows with a fixed capacity.
class carried_flow_table
{
public:
  explicit carried_flow_table(std::size_t max_flows)
    : max_flows_(max_flows)
  {
  }

  carried_flow* find(const flow_key& key);

  /// Adds a flow; null if the table is full.
  carried_flow* add(const flow_key& key, const vm_id& target, instant now);

  void erase(const flow_key& key);

  /// Erases the flows for which `wanted` returns true.
  void erase_if(const std::function<bool(const flow_key&, carried_flow&)>& wanted);

  std::size_t size() const { return flows_.size(); }

private:
  std::size_t max_flows_;
  std::unordered_map<flow_key, carried_flow, flow_key_hash> flows_;
};

}
