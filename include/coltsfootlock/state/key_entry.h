#pragma once

#include "coltsfootlock/state/packet.h"
#include "coltsfootlock/state/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootlock {

enum class key_state : std::uint8_t
{
  queued,   ///< No run that may have been executed was sent for the key.
  sent,     ///< A run may be in progress.
  answered, ///< The answer is stored, unless it exceeded the memory limit for answers.
  refused,  ///< A tombstone: the key never runs again.
};

/// State of an idempotency key at its owner.
struct key_entry
{
  instant first_seen{};
  key_state state = key_state::queued;
  std::uint64_t payload_hash = 0; ///< Distinguishes a repeat from another request with the same key; 0 if unknown.
  std::uint64_t request = 0;      ///< The pending request while queued or sent.
  std::shared_ptr<const std::vector<std::string>> answer; ///< Payloads of the segments, in order.
  run_outcome outcome = run_outcome::may_have_run;        ///< Valid in state refused.
  refusal_reason reason = refusal_reason::overloaded;     ///< Valid in state refused.
};

}
