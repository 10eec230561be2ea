#pragma once

#include "coltsfootlock/state/flow_key.h"

#include <cstdint>

namespace coltsfootlock {

/// The role of a daemon in the routing of one flow.
enum class flow_role : std::uint8_t
{
  unknown, ///< Not determined under the current order yet.
  home,
  deputy,
  learned, ///< Holds a copy of the route, but is neither home nor deputy.
};

/// The record of one flow in a daemon. Names are interned numbers, 0 for none. Times are milliseconds since a base that
/// the owner chooses; they wrap around, so only differences are meaningful.
struct flow_entry
{
  flow_key key;
  std::uint32_t target = 0;  ///< 0 for an open that was referred to another domain.
  std::uint32_t account = 0; ///< The daemon whose share the flow uses; in a referral, the daemon that got the open.
  std::uint32_t replica = 0; ///< The daemon through which the home last sent a packet of the flow.
  std::uint32_t used_ms = 0;
  std::uint32_t refreshed_ms = 0; ///< When home and replica last agreed; while `recently_opened`, the time of the open.
  std::uint32_t silent_since_ms = 0;
  std::uint16_t generation = 0; ///< The order under which `role` was determined.
  flow_role role = flow_role::unknown;
  std::uint8_t unanswered = 0;      ///< Packets to the target since it last sent one.
  std::uint8_t path = 0;            ///< Number of the socket towards the target.
  bool recently_opened : 1 = false; ///< Copies of the open may still arrive; in a query record: sent by this daemon.
  bool referral : 1 = false;        ///< The open was referred to another domain.
  bool hinted : 1 = false;          ///< Learned from a hint; false once this daemon has been home or deputy.
  bool occupied : 1 = false;        ///< Set and cleared by flow_table.

  /// True if the entry holds no route, but only records that `account` was queried for the flow.
  bool is_query_record() const { return referral && hinted; }
};

static_assert(sizeof(flow_entry) == 48,
              "the records of 300,000 flows must stay well below the memory limit of a daemon");

}
