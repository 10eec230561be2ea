#pragma once

#include "coltsfootlock/coordination/flow_router.h"
#include "coltsfootlock/state/flow_table.h"
#include "connection_shares.h"
#include "flow_order.h"
#include "hint_queue.h"
#include "name_registry.h"
#include "routing_index.h"

#include <optional>
#include <string_view>
#include <vector>

namespace coltsfootlock {

/// Implementation of flow_router. The member functions are grouped by source file.
struct flow_router::implementation
{
  implementation(timing limits, traffic_counters& totals)
    : times(limits)
    , counters(totals)
    , table(limits.max_flows)
    , hints(limits.hint_bytes_per_second)
  {
  }

  /// The event being handled: its time and the list to which its actions are added.
  struct event_context
  {
    instant now;
    std::vector<traffic_action>& actions;
  };

  /// A packet being routed, with the metadata that the forwarding peer sent with it. Names are interned numbers, 0 for
  /// none.
  struct routed_packet
  {
    const packet& content;
    flow_key flow;
    std::uint64_t hash = 0;
    std::uint32_t group = 0;
    std::uint32_t entry_daemon = 0; ///< The daemon that got it from the caller.
    std::uint32_t from = 0;         ///< The peer that forwarded the packet; 0 if it came from the caller.
    std::uint8_t hops = 0;
    /// In a search: false once a daemon could not be queried. In an open, by purpose: true for a referral and false for
    /// a query (replicate), true until the home has been queried (open_check), true if the domain that the sender and
    /// the receiver share comes first in the order (refer).
    bool conclusive = true;
    std::uint32_t target = 0;
    std::uint32_t account = 0;
  };

  enum class route_state : std::uint8_t
  {
    usable,
    unknown,        ///< The target has not been in this daemon's list yet.
    lost,           ///< The target left the list.
    out_of_service, ///< The target's domain is out of service.
    wrong_group,    ///< The service now uses another target group.
  };

  // flow_router.cpp
  std::uint32_t milliseconds_at(instant now) const;
  void apply_view(std::shared_ptr<const routing_view> next, event_context& context);
  void build_orders(instant now);
  std::optional<routed_packet> make_routed_packet(const packet& content, event_context& context);
  void on_unknown_service(const packet& content, event_context& context);
  void on_peer_packet(routed_packet& routed, forward_purpose purpose, event_context& context);

  // flow_records.cpp: the table and the use of shares
  bool uses_own_share(const flow_entry& entry) const { return !entry.referral && entry.account == self; }
  flow_entry* record(const flow_key& flow, std::uint32_t target, std::uint32_t account, instant now);
  flow_entry* record_referral(const flow_key& flow, std::uint32_t daemon, instant now);
  void set_route(flow_entry& entry, std::uint32_t target, std::uint32_t account);
  void remove_entry(flow_entry& entry);
  route_state state_of(std::uint32_t target, std::uint32_t group) const;
  flow_role role_of(flow_entry& entry, std::uint64_t hash) const;
  flow_order::ranking ranking_at(std::uint32_t target, std::uint64_t hash) const;
  std::uint32_t home_at(std::uint32_t target, std::uint64_t hash) const;
  flow_entry* usable_entry(const routed_packet& routed, event_context& context, bool& handled);
  bool just_opened(const flow_entry& entry, instant now) const;
  void drop_route(flow_entry& entry, route_state state, event_context& context);

  // flow_sending.cpp
  void log(event_context& context, std::string text) const;
  void drop(event_context& context);
  void forward(const routed_packet& routed, std::uint32_t peer, forward_purpose purpose, event_context& context);
  void send_to_daemon(std::uint32_t peer, peer_message message, event_context& context);
  void deliver(flow_entry& entry, const packet& content, event_context& context);
  void send_to_address(std::uint32_t target, std::uint8_t path, const packet& content, event_context& context);
  void reset_caller(const flow_key& flow, reset_reason reason, event_context& context);
  void offer_hint(const flow_entry& entry, std::uint32_t peer, event_context& context);
  void flush_hints(event_context& context);
  flow_record record_of(const flow_entry& entry) const;

  // flow_data.cpp
  void route_data(routed_packet& routed, event_context& context);
  void route_without_record(routed_packet& routed, event_context& context);
  void route_by_record(flow_entry& entry, routed_packet& routed, event_context& context);
  void send_from_home(flow_entry& entry, routed_packet& routed, event_context& context);
  void route_close(routed_packet& routed, event_context& context);
  void close_at_home(routed_packet& routed, std::uint32_t target, std::uint32_t account, event_context& context);

  // flow_replication.cpp
  void on_replicate(routed_packet& routed, event_context& context);
  void replicate_referral(routed_packet& routed, event_context& context);
  bool deputy_overrides_home(routed_packet& routed, event_context& context);
  void redirect_to_referral(flow_entry& entry, routed_packet& routed, bool opens, event_context& context);
  void correct_home(const routed_packet& routed, event_context& context);
  void replicate_route(routed_packet& routed, event_context& context);

  // flow_opening.cpp
  void route_open(routed_packet& routed, event_context& context);
  void open_here(routed_packet& routed, event_context& context);
  bool query_learned_home(routed_packet& routed, event_context& context);
  void open_existing(flow_entry& entry, routed_packet& routed, event_context& context);
  void open_on_own_share(routed_packet& routed, event_context& context);
  std::uint32_t next_peer_to_query(const routed_packet& routed, std::uint32_t responder, instant now, bool& reachable);
  std::uint32_t first_in_service(const flow_order& previous_order, const routed_packet& routed);
  bool query_next_peer(routed_packet& routed, std::uint32_t responder, event_context& context);
  bool decides_opens(flow_entry* entry, const routed_packet& routed) const;
  bool is_home_or_deputy(const routed_packet& routed) const;
  void forward_to_deputy(routed_packet& routed, event_context& context);
  void on_open_check(routed_packet& routed, event_context& context);
  void on_open_unclaimed(routed_packet& routed, event_context& context);

  // flow_referral.cpp
  void open_by_referral(flow_entry& entry, routed_packet& routed, event_context& context);
  void refer_to_next_domain(routed_packet& routed, event_context& context);
  std::uint32_t referral_home(const routed_packet& routed, std::uint32_t daemon);
  void update_referral(flow_entry& entry, const routed_packet& routed);
  void send_referral(routed_packet& routed, std::uint32_t daemon, event_context& context);
  void on_refer(routed_packet& routed, event_context& context);

  // flow_search.cpp
  std::uint32_t order_home(const routed_packet& routed);
  bool awaits_first_domain(const routed_packet& routed, instant now) const;
  void start_search(routed_packet& routed, event_context& context);
  void on_search(routed_packet& routed, event_context& context);
  void continue_search(routed_packet& routed, event_context& context);
  void end_search(routed_packet& routed, event_context& context);
  bool start_up_finished(instant now) const;
  void search_sequence(const routed_packet& routed);

  // flow_targets.cpp
  void on_target_packet(std::uint32_t target, const packet& content, event_context& context);
  void on_target_report(std::uint32_t target, const packet& content, event_context& context);
  void relay_to_caller(flow_entry& entry, const packet& content, event_context& context);
  void on_target_reset(flow_entry& entry, const packet& content, event_context& context);
  void reset_at_home(routed_packet& routed, event_context& context);
  void remove_from_peers(const flow_entry& entry, std::uint64_t hash, const packet& content, event_context& context);

  // flow_maintenance.cpp
  void on_hints(std::uint32_t from, const route_hints& value, instant now);
  void apply_hint(std::uint32_t from, const flow_record& hint, instant now);
  void sweep(event_context& context);
  void sweep_entry(flow_entry& entry, event_context& context);
  void check_counts() const;
  bool needs_record(const flow_entry& entry, std::uint32_t peer) const;
  std::string explain(const flow_key& flow, instant now);

  timing times;
  traffic_counters& counters;
  std::shared_ptr<const routing_view> view;
  name_registry names;
  routing_index index;
  connection_shares shares;
  flow_table table;
  hint_queue hints;

  std::uint32_t self = 0;
  std::uint32_t own_domain = 0;
  std::uint16_t generation = 0;
  instant base{};
  instant started{};
  instant order_changed{}; ///< When the order last changed in this daemon's view.
  std::size_t sweep_slot = 0;

  std::optional<flow_order> order;
  struct earlier_order
  {
    instant changed{}; ///< When it was replaced.
    flow_order order;
  };
  std::vector<earlier_order> earlier;                           ///< Newest first.
  std::unordered_map<std::uint32_t, instant> unreachable_since; ///< By domain.

  // Reused between calls to avoid an allocation per packet.
  std::vector<std::uint32_t> domain_scratch;
  std::vector<std::uint32_t> search_scratch;
};

}
