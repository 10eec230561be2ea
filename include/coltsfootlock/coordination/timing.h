#pragma once

#include "coltsfootlock/state/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace coltsfootlock {

/// Times and limits of the coordination layer, set from the daemon's settings.
struct timing
{
  milliseconds heartbeat_interval{ 250 };
  milliseconds suspect_after{ 1000 };
  std::size_t heartbeat_bytes_per_second = 3500; ///< The heartbeat interval grows to stay within it.
  milliseconds spend_authority_timeout{ 2000 };
  milliseconds key_authority_timeout{ 5000 };
  milliseconds platform_wait{ 10000 };    ///< Maximum wait of one watch at the platform.
  milliseconds platform_timeout{ 15000 }; ///< A watch without a response for longer is replaced.
  milliseconds platform_retry{ 500 };     ///< Minimum time between two reads of one record.
  milliseconds reader_silence{ 3000 };    ///< After this time without a reader's heartbeat a daemon reads itself.
  milliseconds start_wait{ 2000 };        ///< Maximum wait for records of the platform and peers at start.
  milliseconds target_poll_interval{ 2000 };
  milliseconds order_retention{ 10000 }; ///< How long opens also use the previous domain order.
  milliseconds key_retention{ 600000 };
  milliseconds max_packet_lifetime{ 2000 };
  milliseconds flow_idle{ 300000 };      ///< A record without packets for longer is removed.
  milliseconds learned_refresh{ 20000 }; ///< Interval at which a packet with a learned route is sent through the home.
  milliseconds silence{ 3000 };          ///< A flow without packets from its target for longer changes its path.
  milliseconds run_grace{ 100 };         ///< Added to a run's deadline before its slot counts as free.
  milliseconds drain{ 5000 };            ///< Forwarding continues for this time after SIGTERM.
  std::size_t hint_bytes_per_second = 1000;
  std::size_t max_flows = 1000000;
  std::size_t max_keys = 1000000;

  auto operator<=>(const timing&) const = default;
};

}
