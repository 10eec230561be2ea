#pragma once

#include <atomic>
#include <cstdint>

namespace coltsfootlock {

/// Sizes of HTTP bodies in bytes, and refused calls; updated by several threads.
struct call_counters
{
  std::atomic<std::uint64_t> peer_bytes_sent{ 0 };
  std::atomic<std::uint64_t> peer_bytes_received{ 0 };
  std::atomic<std::uint64_t> platform_bytes_received{ 0 };
  std::atomic<std::uint64_t> load_bytes_received{ 0 };
  std::atomic<std::uint64_t> calls_refused{ 0 }; ///< Received calls whose authentication tag was missing or invalid.
};

}
