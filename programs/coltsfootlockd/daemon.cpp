#include "daemon.h"

#include "blocking_calls.h"
#include "call_service.h"
#include "control_loop.h"
#include "metrics_report.h"
#include "traffic_loop.h"

#include "coltsfootlock/coordination/invariant.h"
#include "coltsfootlock/transport/log.h"
#include "coltsfootlock/transport/rpc_server.h"

#include <prometheus/text_serializer.h>

#include <sodium.h>

#include <chrono>
#include <optional>
#include <thread>
#include <utility>

namespace coltsfootlock {

namespace {

/// Identifies one start of the daemon on a VM. Never 0, which means "unknown" in messages.
std::uint64_t
random_boot_id()
{
  std::uint64_t value = 0;
  while (value == 0) {
    randombytes_buf(&value, sizeof(value));
  }
  return value;
}

}

struct daemon::implementation
{
  implementation(const settings& values, traffic_sockets sockets)
    : settings(values)
    , boot_id(random_boot_id())
    , traffic(settings, boot_id, std::move(sockets), inbox)
    , calls(settings, inbox, traffic, counters)
    , control(settings, boot_id, inbox, traffic, calls)
    , service(settings, control, traffic, counters)
  {
  }

  std::string metrics_text() const;

  const coltsfootlock::settings settings;
  const std::uint64_t boot_id;
  control_inbox inbox;
  call_counters counters;
  traffic_loop traffic;
  blocking_calls calls;
  control_loop control;
  call_service service;
  rpc_server metrics_server;
  std::thread traffic_thread;
  std::thread control_thread;
};

std::string
daemon::implementation::metrics_text() const
{
  metrics_input input;
  input.control = control.snapshot();
  input.traffic = traffic.snapshot();
  input.call_bytes_sent = counters.peer_bytes_sent;
  input.call_bytes_received = counters.peer_bytes_received;
  input.platform_bytes_received = counters.platform_bytes_received;
  input.load_bytes_received = counters.load_bytes_received;
  input.calls_refused = counters.calls_refused;
  input.dropped_log_lines = dropped_log_lines();
  input.dropped_reports = inbox.reports.dropped();
  input.dropped_results = inbox.results.dropped();
  input.dropped_commands = traffic.dropped_commands();
  input.dropped_jobs = calls.dropped_jobs();
  input.invariant_failures = invariant_failures();
  input.now = std::chrono::steady_clock::now();
  return prometheus::TextSerializer().Serialize(metrics_report(input));
}

daemon::daemon(std::shared_ptr<implementation> parts)
  : implementation_(std::move(parts))
{
}

std::unique_ptr<daemon>
daemon::start(const settings& values, error& why)
{
  auto sockets = traffic_sockets::bind(values, why);
  if (!sockets) {
    return nullptr;
  }
  std::unique_ptr<daemon> result(new daemon(std::make_shared<implementation>(values, std::move(*sockets))));
  implementation& parts = *result->implementation_;
  if (!parts.service.listen(why)) {
    return nullptr;
  }
  if (values.metrics_address) {
    // The exposer of prometheus-cpp is not used: its threads have stacks of 100 KB, which the sanitized build
    // overflows.
    parts.metrics_server.add_page("/metrics", [&parts] {
      return http_response{ 200, parts.metrics_text(), std::nullopt };
    });
    if (!parts.metrics_server.listen(*values.metrics_address, why)) {
      why.message = "--metrics-address: " + why.message;
      return nullptr;
    }
  }
  parts.traffic_thread = std::thread([&parts] { parts.traffic.run(); });
  parts.control_thread = std::thread([&parts] { parts.control.run(); });
  write_log(log_level::info,
            "daemon",
            values.self + " in " + values.domain + " listens for packets on " + to_string(values.packet_address) +
              ", peers on " + to_string(values.peer_address) + " and calls on " + to_string(values.call_address));
  return result;
}

daemon::~daemon()
{
  implementation& parts = *implementation_;
  parts.metrics_server.stop();
  parts.service.stop();
  parts.control.stop();
  if (parts.control_thread.joinable()) {
    parts.control_thread.join();
  }
  parts.calls.stop();
  parts.traffic.stop();
  if (parts.traffic_thread.joinable()) {
    parts.traffic_thread.join();
  }
}

void
daemon::leave()
{
  implementation_->control.begin_leaving();
  implementation_->control.wait_for_shutdown();
}

}
