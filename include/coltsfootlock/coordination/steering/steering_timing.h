#pragma once

#include "coltsfootlock/state/time.h"

namespace coltsfootlock::steering_timing {

/// A copy of an opening packet that follows its original by less than this waited in this daemon's own socket and is no
/// sign that the target is silent. Callers send the first copy after 200 ms.
inline constexpr milliseconds min_retransmission_gap{ 120 };

/// A live target answers a first packet, and the caller reacts, within two round trips to the caller and one to the
/// target (20 ms over domains); the rest is for a daemon with a small part of a core.
inline constexpr milliseconds expected_answer_time{ 30 };

/// A first packet that is not answered within a caller's attempt (1.4 s) is no longer waited for.
inline constexpr milliseconds open_timeout{ 1500 };

/// A target without progress for this long while callers repeat packets to it gets no new flows. Longer than one
/// retransmission timeout of a caller (200 ms) and the round trip.
inline constexpr milliseconds suspicion_delay{ 350 };

/// Repeated packets without progress that make a target suspected: one may follow the loss of a packet (0.15% are
/// lost).
inline constexpr unsigned repeats_before_suspicion = 2;

/// A suspected target may be tried again after this time; twice the time of a caller's attempt to open a flow (1.4 s),
/// so that a caller's second attempt meets another target.
inline constexpr milliseconds suspicion_duration{ 2800 };

/// Records that expired while the store was away return within 2 s of its return if the target lives; 500 ms more for
/// the way to the daemon.
inline constexpr milliseconds lapse_grace{ 2500 };

/// Rounds of `steering_engine::tick`: how late a reset may follow its cause.
inline constexpr milliseconds tick_interval{ 100 };

/// A target that owes an answer for this long is checked: longer than nearly all requests run (p99 250 ms).
inline constexpr milliseconds check_delay{ 350 };

/// A check without an answer for this long is over; a connection inside a domain takes less than 1 ms, one between
/// domains 8 ms.
inline constexpr milliseconds check_timeout{ 200 };

/// Checks in a row without an answer that show an unreachable target. With a loss of 0.15% one in 300 checks of a live
/// target is silent; three in a row are fewer than one in 10 million.
inline constexpr unsigned min_silent_checks = 3;

/// A daemon that has started or was paused takes no silence for death for this long: all daemons may have started, and
/// their checks of all targets at once overflow the targets' queues of new connections.
inline constexpr milliseconds silent_check_grace{ 6000 };

/// Pause after a check that was answered.
inline constexpr milliseconds check_interval{ 1000 };

/// Targets of the own domain must have been reached this recently, or the silence may be this daemon's own.
inline constexpr milliseconds domain_reachable_window{ 300 };

/// How often flows without packets are looked for.
inline constexpr milliseconds expiry_interval{ 1000 };

/// A closing flow is remembered this long after its last packet: one retransmission at the longest interval (1.6 s).
inline constexpr milliseconds closing_retention{ 2000 };

/// A step of the clock between two rounds beyond this is a pause of the process: what was not seen in it proves
/// nothing.
inline constexpr milliseconds pause_threshold{ 800 };

}
