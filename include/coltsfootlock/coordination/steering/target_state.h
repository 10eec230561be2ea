#pragma once

#include "coltsfootlock/coordination/steering/loss_evidence.h"
#include "coltsfootlock/coordination/steering/target_pace.h"
#include "coltsfootlock/state/carried_packet.h"
#include "coltsfootlock/state/store_position.h"
#include "coltsfootlock/state/target_load.h"
#include "coltsfootlock/state/target_record.h"
#include "coltsfootlock/state/time.h"

#include <cstdint>
#include <optional>

namespace coltsfootlock {

enum class target_phase : std::uint8_t
{
  present, ///< Its record exists.
  lapsed,  ///< Its record expired during an outage of the store; it may return soon.
  gone     ///< Its record was removed.
};

const char*
to_string(target_phase value);

/// The state of a target: its record, and its health as observed from packets and checks.
struct target_state
{
  target_record record;
  target_token token = 0;
  store_position position;    ///< Of the newest known change of the record.
  std::uint64_t snapshot = 0; ///< Number of the last full list that contained the record.
  bool readable = true;       ///< False if the newest record does not describe a target.
  target_phase phase = target_phase::present;
  instant phase_since;              ///< Start of the phase.
  instant lapse_ends;               ///< When a lapsed target becomes gone.
  instant warm_at;                  ///< End of the cold start.
  instant last_progress;            ///< Last packet that shows that the target sent data.
  std::uint32_t awaiting_flows = 0; ///< Flows whose caller waits for an answer, including flows that are being opened.
  instant awaiting_since;           ///< Start of the time without any answer while a caller waits.
  bool check_running = false;       ///< True while a reachability check runs.
  bool check_outdated = false;      ///< The running check concerns a previous incarnation or address.
  instant check_started;            ///< When the last check started.
  std::uint64_t check_number = 0;   ///< Of the last check; counts the checks of this daemon.
  instant next_check;               ///< No check before this time.
  bool checked_in_vain = false;     ///< The last check was not answered, conclusive or not.
  bool checked_on_report = false;   ///< Checked since another daemon found it lost, without an answer so far.
  bool found_lost = false;          ///< Checks of this daemon showed that the target does not run or is unreachable.
  bool last_check_refused = false;  ///< The last failed check was refused.
  loss_evidence evidence;           ///< Consecutive failed checks, reset by any answer.
  instant last_answered_check;      ///< When it last answered a check, by accepting or by refusing it.
  std::uint32_t repeated_packets = 0;   ///< Data packets that callers retransmitted since the last progress.
  instant last_accepted_check;          ///< Start of the last check that the target accepted.
  instant reported_lost;                ///< When another daemon last saw that the target was lost.
  instant last_answer;                  ///< Before `last_progress` or equal: the target certainly ran then.
  instant reported_alive;               ///< When another daemon last saw an answer of the target.
  instant lost_seen_at;                 ///< Newest evidence of any daemon that the target is lost, refuted or not.
  instant own_alive_seen_at;            ///< Answer that this daemon reported last.
  instant own_alive_report_at;          ///< When it did so.
  bool suspected_on_report = false;     ///< The suspicion rests on a report of another daemon only.
  instant removed_at;                   ///< When this daemon learned that the record was removed.
  instant suspected_until;              ///< Until then the target gets new flows only if no other target can take them.
  double cold_allowance = 0;            ///< New flows that this daemon may open now while the target is cold.
  instant cold_allowance_at;            ///< When the allowance was computed.
  std::uint32_t pending_opens = 0;      ///< First packets without an answer of the target.
  instant pending_since;                ///< Start of the wait for an answer if there are pending opens.
  std::uint32_t open_flows = 0;         ///< Open flows of this target in this daemon's flow table.
  std::optional<target_load_view> load; ///< Newest view of its load.
  instant load_seen_at;                 ///< When the view was set.
  std::uint32_t awaiting_at_load = 0;   ///< `awaiting_flows` when the view was set.
  target_pace pace;
  target_ramp ramp;
};

}
