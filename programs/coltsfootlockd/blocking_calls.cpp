#include "blocking_calls.h"

#include "flow_page.h"
#include "target_load.h"

#include "coltsfootlock/protocol/catalogue_json.h"
#include "coltsfootlock/transport/log.h"
#include "coltsfootlock/transport/rpc_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace coltsfootlock {

namespace {

constexpr std::size_t platform_threads = 4; // Two watches, and two direct reads while a watch is silent.
constexpr std::size_t platform_capacity = 16;
constexpr std::size_t peer_threads = 4;
constexpr std::size_t peer_capacity = 64;
constexpr std::size_t target_threads = 4;
constexpr std::size_t target_capacity = 512;

/// A record is sent as a string in a JSON text that is itself a string in a JSON text. Escaping a quote or a backslash
/// twice makes up to four characters of it.
constexpr std::size_t max_response_bytes = 4 * max_record_bytes;
constexpr http_limits peer_limits{ milliseconds(500), milliseconds(2000), max_response_bytes };
constexpr http_limits load_limits{ milliseconds(500), milliseconds(1000), 4096 };

const char*
method_of(published_record record)
{
  return record == published_record::catalogue ? "catalogue" : "vm_list";
}

const char*
path_of(published_record record)
{
  return record == published_record::catalogue ? "/catalogue" : "/vms";
}

}

blocking_calls::blocking_calls(const settings& values,
                               control_inbox& inbox,
                               traffic_loop& traffic,
                               call_counters& counters)
  : settings_(values)
  , inbox_(inbox)
  , traffic_(traffic)
  , counters_(counters)
  , authentication_(values.self, values.keys)
  , platform_workers_(platform_threads, platform_capacity)
  , peer_workers_(peer_threads, peer_capacity)
  , target_workers_(target_threads, target_capacity)
{
}

blocking_calls::~blocking_calls()
{
  stop();
}

void
blocking_calls::stop()
{
  http_.stop();
  platform_workers_.stop();
  peer_workers_.stop();
  target_workers_.stop();
}

std::uint64_t
blocking_calls::dropped_jobs() const
{
  return platform_workers_.dropped() + peer_workers_.dropped() + target_workers_.dropped();
}

void
blocking_calls::start(const read_platform& call)
{
  if (!platform_workers_.submit([this, call] { read(call); })) {
    inbox_.results.push(
      read_failed{ call.record, { error_kind::unavailable, "the queue of reads from the platform is full" } });
  }
}

void
blocking_calls::start(const fetch_from_peer& call)
{
  if (!peer_workers_.submit([this, call] { fetch(call); })) {
    const error why{ error_kind::unavailable, "the queue of calls to peers is full" };
    inbox_.results.push(fetch_failed{ call.record, call.peer, why });
  }
}

void
blocking_calls::start(const pull_flows& call)
{
  if (!peer_workers_.submit([this, call] { pull(call); })) {
    inbox_.results.push(flows_pulled{ call.peer, false });
  }
}

void
blocking_calls::start(const poll_target_load& call)
{
  // A poll that cannot be queued needs no error: the target is polled again after the poll interval.
  target_workers_.submit([this, call] { poll(call); });
}

void
blocking_calls::query_seeds()
{
  for (const published_record record : { published_record::catalogue, published_record::vm_list }) {
    peer_workers_.submit([this, record] { fetch_from_seed(record); });
  }
}

bool
blocking_calls::post_record(published_record record, const std::string& text, bool from_platform, error& why)
{
  if (record == published_record::catalogue) {
    auto value = parse_catalogue(text, why);
    return value &&
           inbox_.results.push(catalogue_read{ std::make_shared<const catalogue>(std::move(*value)), from_platform });
  }
  auto value = parse_vm_list(text, why);
  return value &&
         inbox_.results.push(vm_list_read{ std::make_shared<const vm_list>(std::move(*value)), from_platform });
}

void
blocking_calls::read(const read_platform& call)
{
  const std::string path = std::string(path_of(call.record)) + "?after=" + std::to_string(call.after) +
                           "&wait=" + std::to_string(call.wait.count());
  // The wait of this read plus the margin that the settings allow beyond the maximum wait.
  const milliseconds total = call.wait + (settings_.times.platform_timeout - settings_.times.platform_wait);
  const http_limits limits{ std::min(total, milliseconds(500)), total, max_record_bytes };
  error why;
  const auto response = http_.get(settings_.platform, path, limits, why);
  if (!response) {
    inbox_.results.push(read_failed{ call.record, why });
    return;
  }
  counters_.platform_bytes_received += response->body.size();
  if (response->status == 200) {
    if (!post_record(call.record, response->body, true, why)) {
      inbox_.results.push(read_failed{ call.record, why });
    }
    return;
  }
  if (response->status == 304 && response->version) {
    inbox_.results.push(record_unchanged{ call.record, *response->version });
    return;
  }
  why = { error_kind::unavailable,
          "the platform responded to " + path + " with status " + std::to_string(response->status) +
            "; expected 200, or 304 with the header X-Version" };
  inbox_.results.push(read_failed{ call.record, why });
}

std::optional<std::string>
blocking_calls::call_peer(const endpoint& address, const std::string& method, const std::string& arguments, error& why)
{
  const std::string params = authentication_.sign_call(method, arguments, std::chrono::system_clock::now());
  counters_.peer_bytes_sent += params.size();
  const auto result = call_rpc(http_, address, method, params, peer_limits, why);
  if (!result) {
    return std::nullopt;
  }
  counters_.peer_bytes_received += result->size();
  return authentication_.open_answer(params, *result, why);
}

void
blocking_calls::fetch(const fetch_from_peer& call)
{
  error why;
  const auto text = call_peer(call.address, method_of(call.record), "{}", why);
  if (!text || !post_record(call.record, *text, false, why)) {
    inbox_.results.push(fetch_failed{ call.record, call.peer, why });
  }
}

void
blocking_calls::fetch_from_seed(published_record record)
{
  for (const endpoint& seed : settings_.seeds) {
    if (seed == settings_.call_address) {
      continue;
    }
    error why;
    const auto text = call_peer(seed, method_of(record), "{}", why);
    if (text && post_record(record, *text, false, why)) {
      return;
    }
    write_log(log_level::debug, "catalogue", "seed " + to_string(seed) + ": " + why.message);
  }
}

void
blocking_calls::pull(const pull_flows& call)
{
  bool complete = false;
  std::size_t cursor = 0;
  error why;
  while (!complete) {
    const std::string arguments = nlohmann::json{ { "cursor", cursor }, { "limit", flow_page::max_records } }.dump();
    const auto content = call_peer(call.address, "flows", arguments, why);
    auto page = content ? flow_page::parse(*content, why) : std::nullopt;
    if (!page || !traffic_.post(adopt_records{ std::move(page->records) })) {
      break;
    }
    complete = page->next == 0;
    if (!complete && page->next <= cursor) {
      why = { error_kind::out_of_range, "the cursor of the next page is not greater than that of this page" };
      break;
    }
    cursor = page->next;
  }
  if (!complete) {
    write_log(
      log_level::warning, "flow", "pull of the flow records from " + call.peer + " is incomplete: " + why.message);
  }
  inbox_.results.push(flows_pulled{ call.peer, complete });
}

void
blocking_calls::poll(const poll_target_load& call)
{
  error why;
  const auto response = http_.get(call.address, "/load", load_limits, why);
  if (!response || response->status != 200) {
    return;
  }
  counters_.load_bytes_received += response->body.size();
  const auto report = parse_target_load(response->body, why);
  if (!report) {
    write_log(log_level::warning, "target", call.target + ": " + why.message);
    return;
  }
  inbox_.reports.push(target_reported{ call.target, *report, false });
}

}
