#pragma once

#include "coltsfootlock/state/time.h"

#include <cstddef>

namespace coltsfootlock::steering_timing {

/// A copy of a first packet that is handled less than this after its predecessor was queued in this daemon's socket and
/// does not indicate a silent target. Callers send the first copy after 200 ms.
inline constexpr milliseconds min_retransmission_gap{ 120 };

/// Time in which a live target answers a first packet and the caller reacts: two round trips to the caller and one to
/// the target (20 ms between domains). The rest allows for a daemon with a small share of a core.
inline constexpr milliseconds expected_answer_time{ 30 };

/// A flow whose first packet is not answered within a caller's attempt (1.4 s) is removed after this time.
inline constexpr milliseconds open_timeout{ 1500 };

/// A target without progress for this long while callers retransmit to it becomes suspected. Longer than one
/// retransmission timeout of a caller (200 ms) plus the round trip.
inline constexpr milliseconds suspicion_delay{ 350 };

/// Retransmitted packets without progress that make a target suspected. A single one may follow the loss of a packet
/// (0.15% are lost).
inline constexpr unsigned repeats_before_suspicion = 2;

/// A suspected target gets new flows again after this time. Twice the time of a caller's attempt to open a flow (1.4
/// s), so that the caller's second attempt goes to another target.
inline constexpr milliseconds suspicion_duration{ 2800 };

/// Records that expired during an outage of the store return within 2 s after it if the target is alive; 500 ms more
/// for the transfer to the daemon.
inline constexpr milliseconds lapse_grace{ 2500 };

/// Interval of `steering_engine::tick`: the maximum delay between a reset and its cause.
inline constexpr milliseconds tick_interval{ 100 };

/// A target that leaves a caller without an answer for this long is checked. Longer than nearly all requests run (p99
/// 250 ms).
inline constexpr milliseconds check_delay{ 350 };

/// A target that leaves a first packet without an answer for this long is checked: twice the time in which a live one
/// answers. A caller whose packet is rejected has up to two more attempts, a few milliseconds apart.
inline constexpr milliseconds opening_check_delay = 2 * expected_answer_time;

/// Timeout of a check. A connection takes less than 1 ms inside a domain and 8 ms between domains.
inline constexpr milliseconds check_timeout{ 200 };

/// Consecutive failed checks, refused or silent, after which a target may be judged dead. At a packet loss of 0.15%,
/// one in 300 checks of a live target gets no answer; three in a row are fewer than one in 10 million.
inline constexpr unsigned min_failed_checks = 3;

/// Time from the start of the first of these checks to that of the last one. A saturated target refuses checks for some
/// tenths of a second, in which callers of other daemons acknowledge its answers (20 to 400 ms).
inline constexpr milliseconds min_failed_check_time{ 1000 };

/// Interval between checks of a target that refuses them, until they are enough for a judgement.
inline constexpr milliseconds refused_check_interval{ 500 };

/// A daemon reports a target as alive at most this often.
inline constexpr milliseconds alive_report_interval{ 1000 };

/// Time in which a report that a target is alive reaches the daemons of the domain: two relays that merge reports for
/// up to 250 ms. Flows of a removed record are reset no earlier after the removal.
inline constexpr milliseconds report_transfer_time{ 500 };

/// For this long after a start or a pause, unanswered checks do not make a target dead. All daemons may have started
/// together, and their checks of all targets at once overflow the targets' listen queues.
inline constexpr milliseconds silent_check_grace{ 6000 };

/// Maximum age of the newest answer of a live target that the daemons of the domain know from reports.
inline constexpr milliseconds alive_report_lag = alive_report_interval + report_transfer_time;

/// Targets that are gone are kept no longer, whatever the lifetime of flows: each replaced target takes memory.
inline constexpr milliseconds max_gone_target_retention = std::chrono::hours(24);

/// Interval between checks of a target that answers them.
inline constexpr milliseconds check_interval{ 1000 };

/// A daemon that found a target lost checks it again if no other one has reported it for this long. The daemons differ
/// by up to `max_report_delay`, so that usually a single one checks it.
inline constexpr milliseconds min_report_delay{ 1100 };
inline constexpr milliseconds max_report_delay{ 1700 };

/// Checks that run at the same time; each uses a descriptor.
inline constexpr std::size_t max_running_checks = 64;

/// A judgement that was not confirmed for this long after its last check is void. Reports are kept for 2.8 s, so that
/// older ones may not have arrived if the records were not confirmed meanwhile.
inline constexpr milliseconds max_judgement_delay{ 2000 };

/// Failed checks that are further apart than this are not consecutive.
inline constexpr milliseconds max_failed_check_gap{ 3000 };

/// Interval between scans for idle flows.
inline constexpr milliseconds expiry_interval{ 1000 };

/// A closing flow is kept for this long after its last packet: one retransmission at the longest interval (1.6 s).
inline constexpr milliseconds closing_retention{ 2000 };

/// A longer time between two rounds of the event loop counts as a pause of the process. Silence during a pause is no
/// evidence.
inline constexpr milliseconds pause_threshold{ 800 };

}
