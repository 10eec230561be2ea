#include "coltsfootlock/coordination/invariant.h"
#include "flow_router_implementation.h"

#include <algorithm>
#include <map>

namespace coltsfootlock {

namespace {

constexpr std::size_t slots_per_tick = 8192;
constexpr std::size_t resets_per_tick = 2000; // spreads the resets over several ticks when a domain is taken out

}

void
flow_router::implementation::on_hints(std::uint32_t from, const route_hints& value, instant now)
{
  for (const flow_record& hint : value.records) {
    apply_hint(from, hint, now);
  }
}

void
flow_router::implementation::apply_hint(std::uint32_t from, const flow_record& hint, instant now)
{
  const std::uint32_t target = names.intern(hint.target);
  const std::uint32_t account = names.intern(hint.account);
  const std::uint32_t group = index.group_of(hint.flow.service);
  if (group == name_registry::none || state_of(target, group) != route_state::usable) {
    return;
  }
  flow_entry* entry = table.find(hint.flow);
  const bool differs = entry != nullptr && !entry->referral && entry->target != target;
  // A hint corrects a home only if it comes from the same domain. It never corrects a deputy, whose record takes
  // precedence.
  const flow_role role = differs ? role_of(*entry, hash_of(hint.flow)) : flow_role::learned;
  if (role == flow_role::deputy || (role == flow_role::home && index.daemon_of(from).domain != own_domain)) {
    return;
  }
  const bool hinted = entry == nullptr || entry->referral || entry->hinted;
  entry = record(hint.flow, target, account, now);
  if (entry != nullptr) {
    entry->hinted = hinted;
    entry->refreshed_ms = milliseconds_at(now);
  }
}

void
flow_router::implementation::sweep(event_context& context)
{
  const std::uint64_t resets = counters.flows_broken;
  for (std::size_t visited = 0; visited < slots_per_tick; ++visited) {
    if (sweep_slot >= table.slot_count()) {
      sweep_slot = 0;
      check_counts();
      return;
    }
    if (counters.flows_broken - resets >= resets_per_tick) {
      return;
    }
    flow_entry* entry = table.at(sweep_slot++);
    if (entry != nullptr) {
      sweep_entry(*entry, context);
    }
  }
}

void
flow_router::implementation::sweep_entry(flow_entry& entry, event_context& context)
{
  const std::uint32_t idle_ms = milliseconds_at(context.now) - entry.used_ms;
  // Copies of an open may arrive long after the first one, so a referral is kept as long as a route. Query records are
  // needed only while an earlier order is.
  const milliseconds limit = entry.is_query_record() ? times.order_retention : times.flow_idle;
  if (idle_ms >= static_cast<std::uint32_t>(limit.count())) {
    remove_entry(entry);
    return;
  }
  if (entry.referral) {
    return;
  }
  const route_state state = state_of(entry.target, index.group_of(entry.key.service));
  if (state != route_state::usable && state != route_state::unknown) {
    drop_route(entry, state, context);
    return;
  }
  const routing_index::daemon& account = index.daemon_of(entry.account);
  const bool account_gone = !account.listed && account.ever_listed;
  if (account_gone && role_of(entry, hash_of(entry.key)) == flow_role::home) {
    set_route(entry, entry.target, self);
  }
}

// Compares the counts of open flows with the table. Skipped for large tables, where the scan takes too long.
void
flow_router::implementation::check_counts() const
{
  constexpr std::size_t max_checked_slots = 4096;
  if (table.slot_count() > max_checked_slots) {
    return;
  }
  std::map<std::uint32_t, std::uint32_t> counted;
  for (std::size_t slot = 0; slot < table.slot_count(); ++slot) {
    const flow_entry* entry = table.at(slot);
    if (entry != nullptr && uses_own_share(*entry)) {
      ++counted[entry->target];
    }
  }
  for (std::uint32_t name = 1; name < names.size(); ++name) {
    const auto found = counted.find(name);
    const std::uint32_t expected = found == counted.end() ? 0 : found->second;
    if (!check_invariant(expected == shares.open(name), "flow-count", names.name(name))) {
      ++counters.invariant_failures;
    }
  }
}

std::string
flow_router::implementation::explain(const flow_key& flow, instant now)
{
  const std::uint32_t group = index.group_of(flow.service);
  if (group == name_registry::none) {
    return "no service has the address " + to_string(flow.service);
  }
  const packet content = data_packet{ flow, true, {}, {} };
  const routed_packet routed{ content, flow, hash_of(flow), group };
  std::string text = "home domain " + names.name(order->first_domain(group, routed.hash)) + ", home " +
                     names.name(order_home(routed)) + "; ";
  const flow_entry* entry = table.find(flow);
  if (entry == nullptr) {
    return text + "no record here";
  }
  if (entry->referral) {
    return text + "referred to " + names.name(entry->account);
  }
  const flow_order::ranking ranked = ranking_at(entry->target, routed.hash);
  const char* role = ranked[0] == self ? "home" : ranked[1] == self ? "deputy" : "learned";
  const std::uint32_t idle_ms = milliseconds_at(now) - entry->used_ms;
  return text + "record of " + role + ": target " + names.name(entry->target) + ", path " +
         std::to_string(entry->path) + ", share of " + names.name(entry->account) + ", idle for " +
         std::to_string(idle_ms) + " ms";
}

// True if the peer needs the record: it is home or deputy of the flow in its domain, which may have referred the flow
// elsewhere, or the flow uses its share. The peer counts as alive because it sends the request while it starts.
bool
flow_router::implementation::needs_record(const flow_entry& entry, std::uint32_t peer) const
{
  if (entry.is_query_record()) {
    return false;
  }
  if (!entry.referral && entry.account == peer) {
    return true;
  }
  const flow_order::ranking ranked = order->members_of(index.daemon_of(peer).domain, hash_of(entry.key), peer);
  return ranked[0] == peer || ranked[1] == peer;
}

std::vector<flow_record>
flow_router::records_for(const vm_id& peer, std::size_t cursor, std::size_t limit, std::size_t& next) const
{
  constexpr std::size_t slots_per_call = 20000; // limits the time per page, which may hold fewer than `limit` records
  std::vector<flow_record> records;
  const implementation& state = *implementation_;
  const std::uint32_t name = state.names.find(peer);
  next = 0;
  if (!state.order || name == name_registry::none) {
    return records;
  }
  const std::size_t end = std::min(state.table.slot_count(), cursor + slots_per_call);
  std::size_t slot = cursor;
  for (; slot < end && records.size() < limit; ++slot) {
    const flow_entry* entry = state.table.at(slot);
    if (entry != nullptr && state.needs_record(*entry, name)) {
      records.push_back(state.record_of(*entry));
    }
  }
  next = slot < state.table.slot_count() ? slot : 0;
  return records;
}

void
flow_router::adopt(const std::vector<flow_record>& records, instant now)
{
  implementation& state = *implementation_;
  for (const flow_record& pulled : records) {
    if (state.table.find(pulled.flow) != nullptr) {
      continue;
    }
    const std::uint32_t account = state.names.intern(pulled.account);
    if (pulled.target.empty()) {
      state.record_referral(pulled.flow, account, now);
      continue;
    }
    const std::uint32_t target = state.names.intern(pulled.target);
    const auto route = state.state_of(target, state.index.group_of(pulled.flow.service));
    if (route != implementation::route_state::usable && route != implementation::route_state::unknown) {
      continue; // the peer that holds the record resets the flow
    }
    flow_entry* entry = state.record(pulled.flow, target, account, now);
    if (entry != nullptr) {
      entry->hinted = state.index.target_of(target).domain != state.own_domain;
    }
  }
}

}
