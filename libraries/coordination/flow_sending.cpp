#include "coltsfootlock/coordination/invariant.h"
#include "flow_router_implementation.h"

namespace coltsfootlock {

namespace {

constexpr std::uint8_t max_open_hops = 16;
constexpr std::uint8_t packets_before_path_change = 3;
constexpr std::uint8_t path_count = 8; // each path uses a separate socket; path 0 follows the last one

std::string
text_of(const flow_key& flow)
{
  return to_string(flow.caller) + " to " + to_string(flow.service);
}

}

void
flow_router::implementation::log(event_context& context, std::string text) const
{
  context.actions.emplace_back(log_decision{ "flow", std::move(text) });
}

void
flow_router::implementation::drop(event_context&)
{
  ++counters.packets_dropped;
}

void
flow_router::implementation::send_to_daemon(std::uint32_t peer, peer_message message, event_context& context)
{
  const routing_index::daemon& destination = index.daemon_of(peer);
  if (!destination.listed || peer == self) {
    drop(context);
    return;
  }
  ++counters.packets_to_peers;
  if (destination.domain != own_domain) {
    ++counters.packets_across_domains;
  }
  context.actions.emplace_back(send_to_peer{ names.name(peer), destination.address, std::move(message) });
}

void
flow_router::implementation::forward(const routed_packet& routed,
                                     std::uint32_t peer,
                                     forward_purpose purpose,
                                     event_context& context)
{
  // An open may pass through several domains and deputies. Daemons with different views could forward it in a loop.
  const bool opens = std::holds_alternative<open_packet>(routed.content);
  if (opens && routed.hops >= max_open_hops) {
    drop(context);
    return;
  }
  send_to_daemon(peer,
                 forwarded_packet{ names.name(routed.entry_daemon),
                                   purpose,
                                   static_cast<std::uint8_t>(routed.hops + (opens ? 1 : 0)),
                                   routed.conclusive,
                                   names.name(routed.target),
                                   names.name(routed.account),
                                   routed.content },
                 context);
}

void
flow_router::implementation::send_to_address(std::uint32_t target,
                                             std::uint8_t path,
                                             const packet& content,
                                             event_context& context)
{
  const routing_index::target& destination = index.target_of(target);
  const std::uint32_t group = index.group_of(flow_of(content).service);
  if (!check_invariant(destination.listed && destination.group == group,
                       "flow-group",
                       "a packet is about to go to a target of another service")) {
    ++counters.invariant_failures;
    drop(context);
    return;
  }
  ++counters.packets_to_targets;
  if (destination.domain != own_domain) {
    ++counters.packets_across_domains;
  }
  context.actions.emplace_back(send_to_target{ destination.address, path, content });
}

void
flow_router::implementation::deliver(flow_entry& entry, const packet& content, event_context& context)
{
  const std::uint32_t now_ms = milliseconds_at(context.now);
  const auto silence_ms = static_cast<std::uint32_t>(times.silence.count());
  if (entry.unanswered >= packets_before_path_change && now_ms - entry.silent_since_ms >= silence_ms) {
    entry.path = static_cast<std::uint8_t>((entry.path + 1) % path_count);
    entry.unanswered = 0;
    ++counters.path_changes;
    log(context,
        text_of(entry.key) + " got no packet from " + names.name(entry.target) + " and changes to path " +
          std::to_string(entry.path));
  }
  if (entry.unanswered == 0) {
    entry.silent_since_ms = now_ms;
  }
  if (entry.unanswered < packets_before_path_change) {
    ++entry.unanswered;
  }
  entry.used_ms = now_ms;
  send_to_address(entry.target, entry.path, content, context);
}

void
flow_router::implementation::reset_caller(const flow_key& flow, reset_reason reason, event_context& context)
{
  ++counters.flows_broken;
  log(context, text_of(flow) + " is reset: " + to_string(reason));
  context.actions.emplace_back(send_to_caller{ reset_packet{ flow, reason, {} } });
}

flow_record
flow_router::implementation::record_of(const flow_entry& entry) const
{
  return { entry.key, names.name(entry.target), names.name(entry.account) };
}

void
flow_router::implementation::offer_hint(const flow_entry& entry, std::uint32_t peer, event_context& context)
{
  // The record of a flow that was just opened may still be corrected.
  if (entry.recently_opened || peer == self || peer == name_registry::none || !index.daemon_of(peer).listed) {
    return;
  }
  hints.add(peer, record_of(entry), context.now);
}

void
flow_router::implementation::flush_hints(event_context& context)
{
  for (auto& [peer, batch] : hints.take_due(context.now)) {
    send_to_daemon(peer, std::move(batch), context);
  }
}

}
