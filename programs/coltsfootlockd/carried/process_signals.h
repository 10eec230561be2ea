#pragma once

namespace coltsfootlock::process_signals {

/// Installs handlers for the signals that end the process (SIGTERM, SIGINT) or reload its settings (SIGHUP).
void
install_handlers();

/// True once the process has received a signal to end.
bool
termination_requested();

/// True once after each signal to reload the settings.
bool
take_reload_request();

}
