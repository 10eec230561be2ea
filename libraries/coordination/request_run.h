#pragma once

#include "answer_assembly.h"
#include "target_admission.h"

#include "coltsfootlock/state/time.h"

#include <cstdint>

namespace coltsfootlock {

/// One dispatch of a request to a target, or of a keyed request to a peer that runs it for the owner of the key.
struct request_run
{
  std::uint64_t id = 0;
  std::uint64_t request = 0;          ///< Sequence of the pending request.
  target_admission* target = nullptr; ///< Null if a peer runs it.
  vm_id executor;                     ///< Id of the target or of the peer.
  instant started{};
  instant slot_release_time{}; ///< Deadline plus grace; without an answer the slot is released then.
  bool had_ample_time = false; ///< Ample time was granted, so that a timeout counts against the target.
  answer_assembly answer;
};

}
