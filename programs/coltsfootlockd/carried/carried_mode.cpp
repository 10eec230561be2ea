#include "carried/carried_mode.h"

#include "carried/carried_daemon.h"
#include "carried/process_signals.h"
#include "exit_codes.h"

#include "coltsfootlock/transport/log.h"

#include <iostream>
#include <utility>

#include <unistd.h>

namespace coltsfootlock {

int
run_carried_mode(const value_map& given, const value_map& values, bool only_check)
{
  error why;
  const auto settings = read_carried_settings(values, why);
  if (!settings) {
    return fail(exit_invalid_settings, why);
  }
  if (only_check) {
    std::cout << "The settings are valid.\n";
    return 0;
  }
  process_signals::install_handlers();
  auto socket = udp_socket::bind(settings->packet_address, why);
  auto ready_server = socket ? page_server::listen(settings->ready_address, why) : std::nullopt;
  if (!ready_server) {
    return fail(exit_start_failed, why);
  }
  start_unthreaded_log(STDOUT_FILENO, settings->min_log_level);
  carried_daemon daemon(given, *settings, std::move(*socket), std::move(*ready_server));
  if (settings->metrics_address) {
    auto metrics_server = page_server::listen(*settings->metrics_address, why);
    if (!metrics_server) {
      return fail(exit_start_failed, why);
    }
    daemon.serve_metrics(std::move(*metrics_server));
  }
  if (settings->call_address) {
    auto peer_server = page_server::listen(*settings->call_address, why);
    if (!peer_server) {
      return fail(exit_start_failed, why);
    }
    daemon.serve_peers(*settings->call_address, std::move(*peer_server));
  }
  write_log(log_level::info,
            "daemon",
            "starts vm=" + settings->steering.self + " domain=" + settings->steering.domain +
              " packets=" + to_string(settings->packet_address) + " store=" + to_string(settings->platform) + " " +
              settings->log_fields());
  daemon.run();
  stop_log();
  return 0;
}

}
