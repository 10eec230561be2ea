#pragma once

#include "request_waiter.h"

#include "coltsfootlock/state/service.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootlock {

/// A request that this daemon has accepted and that has no outcome yet.
struct pending_request
{
  enum class stage : std::uint8_t
  {
    queued,
    running,
  };

  std::uint64_t sequence = 0;   ///< Order of arrival; identifies the request inside the router.
  request_waiter first_attempt; ///< The attempt that created this request.
  std::vector<request_waiter> waiters;
  std::string key; ///< Empty for an idempotent request.
  std::string payload;
  instant first_sent{}; ///< When the caller first sent the idempotency key.
  instant deadline{};
  std::uint32_t group = 0;
  service_class urgency = service_class::normal;
  stage current_stage = stage::queued;
  std::uint64_t run = 0; ///< Id of the current run while running; 0 otherwise.
  std::uint8_t hand_off_count = 0;
  bool cancelled = false;
  std::vector<vm_id> tried; ///< Targets or peers that earlier runs were sent to.
  vm_id source;             ///< The daemon that forwarded it; empty if it came from the fabric.

  /// Run id of the key owner that delegated the run to this daemon; the outcome goes to `source` under this id. 0 if
  /// not delegated.
  std::uint64_t delegation = 0;

  bool idempotent() const { return key.empty(); }
};

}
