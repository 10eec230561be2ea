#pragma once

#include "control_event.h"

#include "coltsfootlock/transport/bounded_queue.h"
#include "coltsfootlock/transport/wake_event.h"

namespace coltsfootlock {

/// Queues of events for the control thread. Results of calls have a separate queue, so that a burst of reports cannot
/// displace a result that the control engine waits for.
struct control_inbox
{
  static constexpr std::size_t report_capacity = 4096;
  static constexpr std::size_t result_capacity = 1024; ///< Exceeds the number of calls that can be outstanding.

  wake_event wake;
  bounded_queue<control_event> reports{ report_capacity, &wake };
  bounded_queue<control_event> results{ result_capacity, &wake };
};

}
