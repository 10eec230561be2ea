#include "call_service.h"

#include "flow_page.h"
#include "status_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace coltsfootlock {

namespace {

using nlohmann::json;

constexpr milliseconds query_timeout{ 500 };
constexpr const char* query_timeout_message = "the traffic thread did not answer within 500 ms; try again";

std::optional<endpoint>
endpoint_field(const json& value, const char* name)
{
  if (!value.is_object() || !value.contains(name) || !value[name].is_string()) {
    return std::nullopt;
  }
  return parse_endpoint(value[name].get<std::string>());
}

}

call_service::call_service(const settings& values,
                           const control_loop& control,
                           traffic_loop& traffic,
                           call_counters& counters)
  : settings_(values)
  , control_(control)
  , traffic_(traffic)
  , counters_(counters)
  , authentication_(values.self, values.keys)
{
  const auto current_view = [this](error& why) {
    auto view = control_.snapshot()->view;
    if (!view) {
      why = { error_kind::unavailable, "no catalogue and VM list have been received yet; call another daemon" };
    }
    return view;
  };
  add_peer_method("catalogue", [current_view](const authenticated_call&, error& why) {
    const auto view = current_view(why);
    return view ? std::optional(view->services->text) : std::nullopt;
  });
  add_peer_method("vm_list", [current_view](const authenticated_call&, error& why) {
    const auto view = current_view(why);
    return view ? std::optional(view->vms->text) : std::nullopt;
  });
  add_peer_method("flows", [this](const authenticated_call& call, error& why) { return handle_flows(call, why); });
  server_.add_method("status", [this](const std::string&, error& why) { return handle_status(why); });
  server_.add_method("explain", [this](const std::string& params, error& why) { return handle_explain(params, why); });
  server_.add_page("/live", [] { return http_response{ 200, "live\n", std::nullopt }; });
  server_.add_page("/ready", [this] {
    const auto state = control_.snapshot();
    const bool ready = state->serving && !state->leaving;
    return ready ? http_response{ 200, "ready\n", std::nullopt } : http_response{ 503, "not ready\n", std::nullopt };
  });
}

bool
call_service::listen(error& why)
{
  const bool listening = server_.listen(settings_.call_address, why);
  if (!listening) {
    why.message = "--call-address: " + why.message;
  }
  return listening;
}

void
call_service::stop()
{
  server_.stop();
}

void
call_service::add_peer_method(const std::string& name, peer_method method)
{
  server_.add_method(
    name,
    [this, name, method = std::move(method)](const std::string& params, error& why) -> std::optional<std::string> {
      counters_.peer_bytes_received += params.size();
      const auto call = authentication_.open_call(name, params, std::chrono::system_clock::now(), why);
      if (!call) {
        ++counters_.calls_refused;
        return std::nullopt;
      }
      const auto content = method(*call, why);
      if (!content) {
        return std::nullopt;
      }
      std::string response = authentication_.sign_answer(call->tag, *content);
      counters_.peer_bytes_sent += response.size();
      return response;
    });
}

std::optional<std::string>
call_service::handle_flows(const authenticated_call& call, error& why)
{
  const json arguments = json::parse(call.arguments, nullptr, false);
  if (!arguments.is_object() || !arguments.contains("cursor") || !arguments["cursor"].is_number_unsigned() ||
      !arguments.contains("limit") || !arguments["limit"].is_number_unsigned()) {
    why = { error_kind::missing_field, "flows requires the numbers cursor and limit" };
    return std::nullopt;
  }
  const auto cursor = arguments["cursor"].get<std::size_t>();
  const auto limit = std::clamp(arguments["limit"].get<std::size_t>(), std::size_t{ 1 }, flow_page::max_records);
  auto response = traffic_.query(
    [peer = call.sender, cursor, limit](const traffic_engine& engine, instant) {
      flow_page page;
      page.records = engine.records_for(peer, cursor, limit, page.next);
      return page.to_json();
    },
    query_timeout);
  if (!response) {
    why = { error_kind::unavailable, query_timeout_message };
  }
  return response;
}

std::optional<std::string>
call_service::handle_explain(const std::string& params, error& why)
{
  const json value = json::parse(params, nullptr, false);
  const auto caller = endpoint_field(value, "caller");
  const auto service = endpoint_field(value, "service");
  if (!caller || !service) {
    why = { error_kind::missing_field,
            "explain requires the addresses caller and service, as strings such as 10.0.0.7:4000" };
    return std::nullopt;
  }
  const std::string key = value.contains("idempotency_key") && value["idempotency_key"].is_string()
                            ? value["idempotency_key"].get<std::string>()
                            : std::string();
  const auto text =
    traffic_.query([flow = flow_key{ *caller, *service }, key](const traffic_engine& engine,
                                                               instant now) { return engine.explain(flow, key, now); },
                   query_timeout);
  if (!text) {
    why = { error_kind::unavailable, query_timeout_message };
    return std::nullopt;
  }
  return json{ { "vm_id", settings_.self }, { "explanation", *text } }.dump(
    -1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string>
call_service::handle_status(error& /*why*/) const
{
  return status_report(settings_, *control_.snapshot(), *traffic_.snapshot(), std::chrono::steady_clock::now());
}

}
