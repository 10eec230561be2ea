#include "flow_router_implementation.h"

#include <algorithm>

namespace coltsfootlock {

namespace {

constexpr std::size_t max_earlier_orders = 4;

// True if both views give the same order, roles and states of targets. Views are published with every heartbeat, and
// most of them only extend the authority.
bool
same_order(const routing_view& left, const routing_view& right)
{
  if (left.services != right.services || left.vms != right.vms || left.state != right.state ||
      left.domains.size() != right.domains.size()) {
    return false;
  }
  return std::equal(
    left.domains.begin(), left.domains.end(), right.domains.begin(), [](const auto& one, const auto& other) {
      const domain_view& a = one.second;
      const domain_view& b = other.second;
      return one.first == other.first && a.in_service == b.in_service && a.members.size() == b.members.size() &&
             std::equal(a.members.begin(), a.members.end(), b.members.begin(), [](const auto& x, const auto& y) {
               return x.alive == y.alive && x.state == y.state && x.vm.id == y.vm.id && x.vm.leaving == y.vm.leaving;
             });
    });
}

}

std::uint32_t
flow_router::implementation::milliseconds_at(instant now) const
{
  return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - base).count());
}

void
flow_router::implementation::apply_view(std::shared_ptr<const routing_view> next, event_context& context)
{
  const bool first = view == nullptr;
  const bool routing_changed = first || !same_order(*view, *next) || view->previous != next->previous;
  const bool shares_changed = first || view->spending_sets != next->spending_sets || view->targets != next->targets ||
                              view->services != next->services;
  view = std::move(next);
  self = names.intern(view->self);
  own_domain = names.intern(view->domain);
  if (first) {
    base = context.now;
    started = context.now;
  }
  if (shares_changed) {
    shares.set_view(*view, names);
  }
  if (!routing_changed) {
    return;
  }
  index.set_view(*view, names);
  build_orders(context.now);
  if (!first) {
    order_changed = context.now;
  }
  generation = static_cast<std::uint16_t>(generation + 1);
  sweep_slot = 0;
}

void
flow_router::implementation::build_orders(instant now)
{
  order.emplace(*view, names);
  for (const auto& [name, value] : view->domains) {
    const std::uint32_t domain = names.intern(name);
    if (order->reachable(domain)) {
      unreachable_since.erase(domain);
    } else {
      unreachable_since.try_emplace(domain, now);
    }
  }
  earlier.clear();
  const routing_view* later = view.get();
  while (later->previous != nullptr && earlier.size() < max_earlier_orders) {
    earlier.push_back({ later->order_changed, flow_order(*later->previous, names) });
    later = later->previous.get();
  }
}

// A caller may use an address before this daemon receives the catalogue with the service. Therefore only opens, and
// data of services that were removed, are answered with a reset.
void
flow_router::implementation::on_unknown_service(const packet& content, event_context& context)
{
  const flow_key& flow = flow_of(content);
  const bool removed = index.had_service(flow.service);
  flow_entry* entry = table.find(flow);
  if (entry != nullptr) {
    remove_entry(*entry);
  }
  const bool opens = std::holds_alternative<open_packet>(content);
  if (opens || (removed && std::holds_alternative<data_packet>(content))) {
    reset_caller(flow, reset_reason::no_service, context);
    return;
  }
  drop(context);
}

std::optional<flow_router::implementation::routed_packet>
flow_router::implementation::make_routed_packet(const packet& content, event_context& context)
{
  if (!order) {
    drop(context);
    return std::nullopt;
  }
  const flow_key& flow = flow_of(content);
  const std::uint32_t group = index.group_of(flow.service);
  if (group == name_registry::none) {
    on_unknown_service(content, context);
    return std::nullopt;
  }
  return routed_packet{ content, flow, hash_of(flow), group, self };
}

flow_router::flow_router(timing times, traffic_counters& counters)
  : implementation_(std::make_unique<implementation>(times, counters))
{
}

flow_router::~flow_router() = default;
flow_router::flow_router(flow_router&&) noexcept = default;

void
flow_router::set_view(std::shared_ptr<const routing_view> view, instant now, std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  implementation_->apply_view(std::move(view), context);
}

void
flow_router::on_caller_packet(const packet& value, instant now, std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  auto routed = implementation_->make_routed_packet(value, context);
  if (!routed) {
    return;
  }
  const auto* data = std::get_if<data_packet>(&value);
  if (data != nullptr && data->to_target) {
    implementation_->route_data(*routed, context);
  } else if (std::holds_alternative<open_packet>(value)) {
    implementation_->route_open(*routed, context);
  } else if (std::holds_alternative<close_packet>(value)) {
    implementation_->route_close(*routed, context);
  } else {
    implementation_->drop(context);
  }
}

void
flow_router::on_forwarded(const vm_id& from,
                          const forwarded_packet& value,
                          instant now,
                          std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  implementation& state = *implementation_;
  auto routed = state.make_routed_packet(value.content, context);
  if (!routed) {
    return;
  }
  routed->from = state.names.find(from);
  routed->entry_daemon = state.names.intern(value.entry);
  routed->hops = value.hops;
  routed->conclusive = value.conclusive;
  routed->target = state.names.intern(value.target);
  routed->account = state.names.intern(value.account);
  if (!state.index.daemon_of(routed->from).listed) {
    state.drop(context);
    return;
  }
  state.on_peer_packet(*routed, value.purpose, context);
}

void
flow_router::implementation::on_peer_packet(routed_packet& routed, forward_purpose purpose, event_context& context)
{
  const bool opens = std::holds_alternative<open_packet>(routed.content);
  const bool closes = std::holds_alternative<close_packet>(routed.content);
  const auto* data = std::get_if<data_packet>(&routed.content);
  const bool sends = data != nullptr && data->to_target;
  switch (purpose) {
    case forward_purpose::replicate:
      on_replicate(routed, context);
      return;
    case forward_purpose::route_at_home:
      if (opens) {
        route_open(routed, context);
      } else if (closes) {
        route_close(routed, context);
      } else if (sends) {
        route_data(routed, context);
      } else if (std::holds_alternative<reset_packet>(routed.content)) {
        reset_at_home(routed, context);
      } else {
        drop(context);
      }
      return;
    case forward_purpose::search:
      if (closes || sends) {
        on_search(routed, context);
      } else {
        drop(context);
      }
      return;
    case forward_purpose::open_check:
    case forward_purpose::open_unclaimed:
    case forward_purpose::refer:
      if (!opens) {
        drop(context);
      } else if (purpose == forward_purpose::open_check) {
        on_open_check(routed, context);
      } else if (purpose == forward_purpose::open_unclaimed) {
        on_open_unclaimed(routed, context);
      } else {
        on_refer(routed, context);
      }
      return;
    case forward_purpose::run_at_owner:
    case forward_purpose::hand_off:
    case forward_purpose::key_check:
    case forward_purpose::key_unused:
    case forward_purpose::key_in_use:
      drop(context); // used only for requests
      return;
  }
  drop(context);
}

void
flow_router::on_hints(const vm_id& from, const route_hints& value, instant now, std::vector<traffic_action>&)
{
  if (implementation_->order) {
    implementation_->on_hints(implementation_->names.find(from), value, now);
  }
}

void
flow_router::on_target_packet(const vm_id& from, const packet& value, instant now, std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  if (!implementation_->order) {
    implementation_->drop(context);
    return;
  }
  implementation_->on_target_packet(implementation_->names.find(from), value, context);
}

void
flow_router::tick(instant now, std::vector<traffic_action>& actions)
{
  implementation::event_context context{ now, actions };
  if (!implementation_->order) {
    return;
  }
  implementation_->flush_hints(context);
  implementation_->sweep(context);
  implementation_->counters.flows = implementation_->table.size();
}

std::uint32_t
flow_router::open_flows(const vm_id& target) const
{
  return implementation_->shares.open(implementation_->names.find(target));
}

std::uint32_t
flow_router::connection_share(const vm_id& target, instant now) const
{
  return implementation_->shares.share(implementation_->names.find(target), now);
}

std::string
flow_router::explain(const flow_key& flow, instant now) const
{
  return implementation_->order ? implementation_->explain(flow, now) : "no view is in force yet";
}

}
