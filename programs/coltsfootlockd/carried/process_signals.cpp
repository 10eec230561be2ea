#include "carried/process_signals.h"

#include <csignal>

namespace coltsfootlock::process_signals {

namespace {

volatile std::sig_atomic_t termination = 0;
volatile std::sig_atomic_t reload = 0;

void
on_signal(int signal)
{
  if (signal == SIGHUP) {
    reload = 1;
  } else {
    termination = 1;
  }
}

}

void
install_handlers()
{
  struct sigaction action = {};
  action.sa_handler = &on_signal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGHUP, &action, nullptr);
  // Writing to a connection that the peer has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
}

bool
termination_requested()
{
  return termination != 0;
}

bool
take_reload_request()
{
  const bool requested = reload != 0;
  reload = 0;
  return requested;
}

}
