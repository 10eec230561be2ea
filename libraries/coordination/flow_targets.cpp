#include "flow_router_implementation.h"

namespace coltsfootlock {

void
flow_router::implementation::on_target_packet(std::uint32_t target, const packet& content, event_context& context)
{
  const flow_key& flow = flow_of(content);
  const std::uint32_t group = index.group_of(flow.service);
  if (group == name_registry::none || state_of(target, group) != route_state::usable) {
    drop(context);
    return;
  }
  on_target_report(target, content, context);
  flow_entry* entry = table.find(flow);
  const bool matches = entry != nullptr && !entry->referral && entry->target == target;
  if (matches) {
    entry->unanswered = 0;
    entry->used_ms = milliseconds_at(context.now);
  }
  if (std::holds_alternative<reset_packet>(content)) {
    if (matches) {
      on_target_reset(*entry, content, context);
    } else {
      drop(context);
    }
    return;
  }
  const auto* data = std::get_if<data_packet>(&content);
  if (!std::holds_alternative<opened_packet>(content) && (data == nullptr || data->to_target)) {
    drop(context);
    return;
  }
  if (entry != nullptr && !matches) {
    drop(context); // a late packet of an earlier flow between the same endpoints
    return;
  }
  if (entry == nullptr) {
    context.actions.emplace_back(send_to_caller{ content });
    return;
  }
  relay_to_caller(*entry, content, context);
}

void
flow_router::implementation::on_target_report(std::uint32_t target, const packet& content, event_context& context)
{
  const target_report report = std::visit(
    [](const auto& kind) {
      if constexpr (requires { kind.report; }) {
        return kind.report;
      } else {
        return target_report{};
      }
    },
    content);
  if (shares.on_report(target, report, context.now)) {
    context.actions.emplace_back(report_target{ names.name(target), report, false });
  }
}

// Packets towards the caller refresh records as well, because a feed may run for hours without a packet from the
// caller.
void
flow_router::implementation::relay_to_caller(flow_entry& entry, const packet& content, event_context& context)
{
  const std::uint32_t now_ms = milliseconds_at(context.now);
  if (now_ms - entry.refreshed_ms < static_cast<std::uint32_t>(times.learned_refresh.count())) {
    context.actions.emplace_back(send_to_caller{ content });
    return;
  }
  const std::uint64_t hash = hash_of(entry.key);
  const flow_role role = role_of(entry, hash);
  const flow_order::ranking ranked = ranking_at(entry.target, hash);
  const std::uint32_t through = role == flow_role::home ? ranked[1] : ranked[0];
  entry.refreshed_ms = now_ms;
  if (through == name_registry::none || through == self) {
    context.actions.emplace_back(send_to_caller{ content });
    return;
  }
  if (role == flow_role::home) {
    entry.replica = through;
  }
  send_to_daemon(
    through,
    forwarded_packet{
      view->self, forward_purpose::replicate, 0, true, names.name(entry.target), names.name(entry.account), content },
    context);
}

// Home and deputy reset the caller and remove the record at each other. Any other daemon only removes its copy and lets
// the home decide.
void
flow_router::implementation::on_target_reset(flow_entry& entry, const packet& content, event_context& context)
{
  const std::uint64_t hash = hash_of(entry.key);
  const flow_role role = role_of(entry, hash);
  if (role == flow_role::home || role == flow_role::deputy) {
    const reset_reason reason = std::get<reset_packet>(content).reason;
    const flow_key flow = entry.key;
    remove_from_peers(entry, hash, content, context);
    remove_entry(entry);
    reset_caller(flow, reason, context);
    return;
  }
  const std::uint32_t home = home_at(entry.target, hash);
  const std::uint32_t target = entry.target;
  remove_entry(entry);
  if (home != name_registry::none) {
    send_to_daemon(
      home,
      forwarded_packet{ view->self, forward_purpose::route_at_home, 0, true, names.name(target), {}, content },
      context);
  }
}

void
flow_router::implementation::reset_at_home(routed_packet& routed, event_context& context)
{
  flow_entry* entry = table.find(routed.flow);
  const bool matches = entry != nullptr && !entry->referral && entry->target == routed.target;
  if (!matches || role_of(*entry, routed.hash) != flow_role::home) {
    drop(context);
    return;
  }
  on_target_reset(*entry, routed.content, context);
}

void
flow_router::implementation::remove_from_peers(const flow_entry& entry,
                                               std::uint64_t hash,
                                               const packet& content,
                                               event_context& context)
{
  const flow_order::ranking ranked = ranking_at(entry.target, hash);
  const std::uint32_t other = ranked[0] == self ? ranked[1] : ranked[0];
  const bool notify_account = entry.account != self && entry.account != other && index.daemon_of(entry.account).listed;
  for (const std::uint32_t daemon : { other, notify_account ? entry.account : name_registry::none }) {
    if (daemon != name_registry::none) {
      send_to_daemon(
        daemon,
        forwarded_packet{ view->self, forward_purpose::replicate, 0, true, names.name(entry.target), {}, content },
        context);
    }
  }
}

}
