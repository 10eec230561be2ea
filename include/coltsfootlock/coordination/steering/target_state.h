#pragma once

#include "coltsfootlock/state/carried_packet.h"
#include "coltsfootlock/state/target_record.h"
#include "coltsfootlock/state/time.h"

#include <cstdint>

namespace coltsfootlock {

enum class target_phase : std::uint8_t
{
  present, ///< Its record is there.
  lapsed,  ///< Its record expired while the store could not be written; it may be back soon.
  gone     ///< Its record is gone for good.
};

const char*
to_string(target_phase value);

/// What a daemon knows about a target: its record, and what packets showed.
struct target_state
{
  target_record record;
  target_token token = 0;
  std::uint64_t revision = 0; ///< Of the newest change of the record that is known.
  std::uint64_t snapshot = 0; ///< The last full list that contained the record.
  bool readable = true;       ///< False after another writer replaced the record by something else.
  target_phase phase = target_phase::present;
  instant phase_since;                ///< Start of the phase.
  instant lapse_ends;                 ///< A lapsed target is gone at this time.
  instant warm_at;                    ///< End of the cold start.
  instant last_progress;              ///< Last packet that shows that the target sent something.
  std::uint32_t awaiting_flows = 0;   ///< Flows on which a caller waits for an answer, opens included.
  instant awaiting_since;             ///< Since when nothing has come from it although a caller waits.
  bool check_running = false;         ///< A reachability check is under way.
  instant next_check;                 ///< No check before this time.
  unsigned silent_checks = 0;         ///< Checks without an answer since the last sign of life.
  bool dead = false;                  ///< Checks showed that the process is not there; until the next sign of life.
  std::uint32_t repeated_packets = 0; ///< Packets with data that callers repeated since the last progress.
  instant suspected_until;            ///< Gets no new flows until then if another target can take them.
  double cold_allowance = 0;          ///< New flows that this daemon may still open while the target is cold.
  instant cold_allowance_at;          ///< When the allowance was computed.
  std::uint32_t pending_opens = 0;    ///< First packets that the target has not answered yet.
  instant pending_since;              ///< Since when it owes an answer, if there are pending opens.
  std::uint32_t open_flows = 0;       ///< Flows of this target that this daemon has seen and that have not ended.
};

}
