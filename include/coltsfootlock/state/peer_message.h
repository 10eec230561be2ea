#pragma once

#include "coltsfootlock/state/packet.h"
#include "coltsfootlock/state/vm_list.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootlock {

enum class daemon_state : std::uint8_t
{
  starting = 0,
  serving = 1,
  leaving = 2,
};

const char*
to_string(daemon_state value);

/// Free slots of the sender's share of one target group in its domain.
struct group_capacity
{
  std::string target_group;
  std::uint32_t free_slots = 0;
  auto operator<=>(const group_capacity&) const = default;
};

/// State of a target of the sender's domain, as observed by the sender.
struct target_status
{
  vm_id target;
  std::uint64_t incarnation = 0;
  std::uint32_t warm_ms = 0; ///< Time since this incarnation was last treated as cold.
  bool leaving = false;
  auto operator<=>(const target_status&) const = default;
};

struct heartbeat
{
  vm_id sender;
  std::string domain;
  std::uint64_t boot_id = 0;  ///< Random per process start.
  std::uint64_t sequence = 0; ///< Increases by one with each heartbeat of this boot.
  daemon_state state = daemon_state::starting;
  std::uint64_t catalogue_version = 0;
  std::uint64_t catalogue_digest = 0;
  std::uint64_t vm_list_version = 0;
  std::uint64_t vm_list_digest = 0;
  std::uint64_t domain_catalogue_version = 0; ///< Lowest version that the daemons of the sender's domain act on.
  std::uint64_t adopted_entry_set = 0;        ///< Newest entry set that limits all runs of the sender; 0 without one.
  bool released = false;                      ///< The sender has permanently released its shares.
  std::vector<vm_id> alive_members;           ///< Responsive members of the sender's domain, itself included.
  std::vector<group_capacity> capacity;
  std::vector<target_status> targets;
  auto operator<=>(const heartbeat&) const = default;
};

/// Why a packet is forwarded to a peer.
enum class forward_purpose : std::uint8_t
{
  route_at_home = 0,  ///< The receiver is the flow's home; it routes the packet, or starts the search for its record.
  replicate = 1,      ///< The receiver is the flow's deputy; it records or removes the route and forwards the packet.
  search = 2,         ///< The receiver may hold a record; without one it forwards the packet.
  open_check = 3,     ///< The receiver is the previous home; it routes the open if it has a record, else returns it.
  open_unclaimed = 4, ///< Response to open_check: the sender has no record.
  run_at_owner = 5,   ///< The receiver owns the idempotency key.
  hand_off = 6,       ///< The receiver reported free slots.
  refer = 7,          ///< The receiver's domain is next in the flow's domain order.
  key_check = 8,      ///< The receiver, the key's previous owner, ends the request or confirms that the key is unused.
  key_unused = 9,     ///< Response to key_check: the sender never received the key and no longer accepts it.
  key_in_use = 10,    ///< Response to key_check: the sender has a record of the key and has replied to the caller.
};

struct forwarded_packet
{
  vm_id entry; ///< The daemon that received the packet from the fabric.
  forward_purpose purpose = forward_purpose::route_at_home;
  std::uint8_t hops = 0;
  bool conclusive = true; ///< False once a daemon could not be queried; for opens see routed_packet::conclusive in
                          ///< flow_router_implementation.h.
  vm_id target;           ///< The target that the home selected or the sender learned; empty for a referral.
  vm_id account;          ///< The daemon whose share the flow uses, to which it was referred, or that sent open_check.
  packet content;
  auto operator<=>(const forwarded_packet&) const = default;
};

/// The route of one flow.
struct flow_record
{
  flow_key flow;
  vm_id target;
  vm_id account; ///< The daemon whose share the flow uses.
  auto operator<=>(const flow_record&) const = default;
};

/// Routes that the receiver can use without querying the home.
struct route_hints
{
  std::vector<flow_record> records;
  auto operator<=>(const route_hints&) const = default;
};

using peer_message = std::variant<heartbeat, forwarded_packet, route_hints>;

}
