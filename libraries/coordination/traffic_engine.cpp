#include "coltsfootlock/coordination/traffic_engine.h"

#include "coltsfootlock/coordination/flow_router.h"
#include "coltsfootlock/coordination/invariant.h"
#include "coltsfootlock/coordination/request_router.h"

#include "service_guard.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace coltsfootlock {

namespace {

enum class packet_category : std::uint8_t
{
  flow,
  request,
  unexpected, ///< A packet kind that is not valid from this source.
};

struct caller_packet_classifier
{
  packet_category operator()(const open_packet& /*value*/) const { return packet_category::flow; }
  packet_category operator()(const close_packet& /*value*/) const { return packet_category::flow; }
  packet_category operator()(const data_packet& value) const
  {
    return value.to_target ? packet_category::flow : packet_category::unexpected;
  }
  packet_category operator()(const request_packet& /*value*/) const { return packet_category::request; }
  packet_category operator()(const cancel_packet& /*value*/) const { return packet_category::request; }
  template<typename kind_type>
  packet_category operator()(const kind_type& /*value*/) const
  {
    return packet_category::unexpected;
  }
};

// Peers forward packets of callers, resets to the home of a flow, which decides about them, and the answers and
// refusals of runs to the owner of a key.
struct peer_packet_classifier : caller_packet_classifier
{
  using caller_packet_classifier::operator();
  packet_category operator()(const reset_packet& /*value*/) const { return packet_category::flow; }
  packet_category operator()(const answer_packet& /*value*/) const { return packet_category::request; }
  packet_category operator()(const refusal_packet& /*value*/) const { return packet_category::request; }
};

struct target_packet_classifier
{
  packet_category operator()(const opened_packet& /*value*/) const { return packet_category::flow; }
  packet_category operator()(const reset_packet& /*value*/) const { return packet_category::flow; }
  packet_category operator()(const data_packet& value) const
  {
    return value.to_target ? packet_category::unexpected : packet_category::flow;
  }
  packet_category operator()(const answer_packet& /*value*/) const { return packet_category::request; }
  packet_category operator()(const refusal_packet& /*value*/) const { return packet_category::request; }
  template<typename kind_type>
  packet_category operator()(const kind_type& /*value*/) const
  {
    return packet_category::unexpected;
  }
};

struct report_extractor
{
  target_report operator()(const opened_packet& value) const { return value.report; }
  target_report operator()(const data_packet& value) const { return value.report; }
  target_report operator()(const reset_packet& value) const { return value.report; }
  template<typename kind_type>
  target_report operator()(const kind_type& /*value*/) const
  {
    return {};
  }
};

}

struct traffic_engine::implementation
{
  implementation(const timing& times, std::uint64_t seed)
    : flows(times, counters)
    , requests(times, seed, counters)
  {
  }

  // Removes packets that the guard refuses, and updates the counters.
  void filter_refused(std::vector<traffic_action>& actions)
  {
    std::erase_if(actions, [&](const traffic_action& action) {
      const auto* sent = std::get_if<send_to_target>(&action);
      return sent != nullptr && !guard.allows(*sent);
    });
    counters.invariant_failures = invariant_failures();
  }

  void count_dropped() { ++counters.packets_dropped; }

  // Passes the report in a flow packet of a target to the control thread if it has changed.
  void report_if_changed(const vm_id& from, const target_report& report, std::vector<traffic_action>& actions)
  {
    if (report.incarnation == 0) {
      return;
    }
    target_report& last = last_reports[from];
    if (last != report) {
      last = report;
      actions.emplace_back(report_target{ from, report, false });
    }
  }

  traffic_counters counters;
  flow_router flows;
  request_router requests;
  service_guard guard;
  std::shared_ptr<const routing_view> view;
  std::unordered_map<vm_id, target_report> last_reports;
};

traffic_engine::traffic_engine(timing times, std::uint64_t seed)
  : implementation_(std::make_unique<implementation>(times, seed))
{
}

traffic_engine::~traffic_engine() = default;
traffic_engine::traffic_engine(traffic_engine&&) noexcept = default;

std::vector<traffic_action>
traffic_engine::set_view(std::shared_ptr<const routing_view> view, instant now)
{
  std::vector<traffic_action> actions;
  implementation_->view = view;
  implementation_->guard.set_view(*view);
  implementation_->flows.set_view(view, now, actions);
  implementation_->requests.set_view(std::move(view), now, actions);
  implementation_->filter_refused(actions);
  return actions;
}

std::vector<traffic_action>
traffic_engine::on_caller_packet(const packet& value, instant now)
{
  std::vector<traffic_action> actions;
  ++implementation_->counters.packets_from_callers;
  const packet_category category =
    implementation_->view ? std::visit(caller_packet_classifier{}, value) : packet_category::unexpected;
  if (category == packet_category::flow) {
    implementation_->flows.on_caller_packet(value, now, actions);
  } else if (category == packet_category::request) {
    implementation_->requests.on_caller_packet(value, now, actions);
  } else {
    implementation_->count_dropped();
  }
  implementation_->filter_refused(actions);
  return actions;
}

std::vector<traffic_action>
traffic_engine::on_peer_message(const vm_id& from, const peer_message& value, instant now)
{
  std::vector<traffic_action> actions;
  if (!implementation_->view) {
    implementation_->count_dropped();
    return actions;
  }
  if (const auto* forwarded = std::get_if<forwarded_packet>(&value)) {
    const packet_category category = std::visit(peer_packet_classifier{}, forwarded->content);
    if (category == packet_category::flow) {
      implementation_->flows.on_forwarded(from, *forwarded, now, actions);
    } else if (category == packet_category::request) {
      implementation_->requests.on_forwarded(from, *forwarded, now, actions);
    } else {
      implementation_->count_dropped();
    }
  } else if (const auto* hints = std::get_if<route_hints>(&value)) {
    implementation_->flows.on_hints(from, *hints, now, actions);
  }
  implementation_->filter_refused(actions);
  return actions;
}

std::vector<traffic_action>
traffic_engine::on_target_packet(const vm_id& from, const packet& value, instant now)
{
  std::vector<traffic_action> actions;
  const packet_category category =
    implementation_->view ? std::visit(target_packet_classifier{}, value) : packet_category::unexpected;
  if (category == packet_category::flow) {
    implementation_->report_if_changed(from, std::visit(report_extractor{}, value), actions);
    implementation_->flows.on_target_packet(from, value, now, actions);
  } else if (category == packet_category::request) {
    implementation_->requests.on_target_packet(from, value, now, actions);
  } else {
    implementation_->count_dropped();
  }
  implementation_->filter_refused(actions);
  return actions;
}

std::vector<traffic_action>
traffic_engine::tick(instant now)
{
  std::vector<traffic_action> actions;
  if (implementation_->view) {
    implementation_->flows.tick(now, actions);
    implementation_->requests.tick(now, actions);
    implementation_->filter_refused(actions);
  }
  return actions;
}

std::vector<traffic_action>
traffic_engine::begin_leaving(instant now)
{
  std::vector<traffic_action> actions;
  implementation_->requests.begin_leaving(now, actions);
  implementation_->filter_refused(actions);
  return actions;
}

bool
traffic_engine::finished() const
{
  return implementation_->requests.finished();
}

std::vector<flow_record>
traffic_engine::records_for(const vm_id& peer, std::size_t cursor, std::size_t limit, std::size_t& next) const
{
  return implementation_->flows.records_for(peer, cursor, limit, next);
}

void
traffic_engine::adopt(const std::vector<flow_record>& records, instant now)
{
  implementation_->flows.adopt(records, now);
}

std::vector<group_capacity>
traffic_engine::capacity(instant now) const
{
  return implementation_->requests.capacity(now);
}

std::vector<target_use>
traffic_engine::use(instant now) const
{
  std::vector<target_use> result;
  if (!implementation_->view) {
    return result;
  }
  for (const auto& [id, target] : implementation_->view->targets) {
    if (target.vm.domain != implementation_->view->domain) {
      continue;
    }
    target_use& entry = result.emplace_back();
    entry.target = id;
    entry.open_flows = implementation_->flows.open_flows(id);
    entry.connection_share = implementation_->flows.connection_share(id, now);
  }
  implementation_->requests.add_use(result, now);
  return result;
}

const traffic_counters&
traffic_engine::counters() const
{
  return implementation_->counters;
}

std::string
traffic_engine::explain(const flow_key& flow, const std::string& idempotency_key, instant now) const
{
  if (!implementation_->view) {
    return "no catalogue or VM list has been received yet";
  }
  return "flow: " + implementation_->flows.explain(flow, now) +
         "\nrequest: " + implementation_->requests.explain(flow, idempotency_key, now);
}

}
