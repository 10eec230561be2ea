#pragma once

namespace coltsfootlock::process_requests {

/// Catches the signals that end the process (SIGTERM, SIGINT) or have it read its settings again (SIGHUP).
void
install_handlers();

/// True once the process has been asked to end.
bool
termination_requested();

/// True if the settings are to be read again; false until the next signal.
bool
take_reload_request();

}
