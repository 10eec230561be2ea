#include "recorded_mode.h"

#include "daemon.h"
#include "exit_codes.h"
#include "read_settings.h"

#include "coltsfootlock/transport/log.h"

#include <sodium.h>

#include <csignal>
#include <iostream>

namespace coltsfootlock {

namespace {

/// Blocks the termination signals in this thread and in the threads that it starts, so that sigwait() receives them.
sigset_t
block_termination()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection that the peer has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int
run(const settings& values)
{
  const sigset_t signals = block_termination();
  start_log(std::cerr, values.min_log_level);
  error why;
  auto running = daemon::start(values, why);
  if (!running) {
    stop_log();
    return fail(exit_start_failed, why);
  }
  int received = 0;
  sigwait(&signals, &received);
  running->leave();
  running.reset();
  write_log(log_level::info, "daemon", "left");
  stop_log();
  return 0;
}

}

int
run_recorded_mode(const value_map& values, bool only_check)
{
  error why;
  if (sodium_init() < 0) {
    return fail(exit_start_failed, { error_kind::unavailable, "libsodium cannot be initialised" });
  }
  const auto checked = read_settings(values, why);
  if (!checked) {
    return fail(exit_invalid_settings, why);
  }
  if (only_check) {
    std::cout << "The settings are valid.\n";
    return 0;
  }
  return run(*checked);
}

}
