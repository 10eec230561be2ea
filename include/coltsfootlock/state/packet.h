#pragma once

#include "coltsfootlock/state/flow_key.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace coltsfootlock {

inline constexpr std::size_t max_packet_bytes = 1400;
inline constexpr std::uint16_t max_answer_segments = 64;
inline constexpr std::size_t max_answer_bytes = 64 * 1024;
inline constexpr std::size_t max_idempotency_key_bytes = 64;

enum class target_condition : std::uint8_t
{
  unknown = 0,
  serving = 1,
  cold = 2,
  leaving = 3,
};

/// What a target says of itself in each packet that it sends; incarnation 0 in packets of daemons and callers.
struct target_report
{
  std::uint64_t incarnation = 0;
  target_condition condition = target_condition::unknown;

  auto operator<=>(const target_report&) const = default;
};

enum class reset_reason : std::uint8_t
{
  unknown_flow = 0,
  domain_out = 1,
  target_lost = 2,
  no_service = 3,
  no_capacity = 4,
  closed_by_target = 5,
};

/// Whether a refused request can have run.
enum class run_outcome : std::uint8_t
{
  not_run = 0,
  may_have_run = 1,
};

enum class refusal_reason : std::uint8_t
{
  overloaded = 0,
  deadline = 1,
  no_target = 2,
  leaving = 3,
  target_lost = 4,
  owner_unreachable = 5,
  owner_changed = 6,
  too_old = 7,
  cancelled = 8,
  no_service = 9,
  no_authority = 10,
  cold = 11,         ///< Only from targets: shed because of a cold start.
  key_conflict = 12, ///< The idempotency key was used before with another payload.
};

inline constexpr std::size_t refusal_reason_count = 13;

/// Opens a flow. Caller to target.
struct open_packet
{
  flow_key flow;
  auto operator<=>(const open_packet&) const = default;
};

/// Confirms an open. Target to caller.
struct opened_packet
{
  flow_key flow;
  target_report report;
  auto operator<=>(const opened_packet&) const = default;
};

/// Carries payload of an open flow, in either direction.
struct data_packet
{
  flow_key flow;
  bool to_target = true;
  target_report report;
  std::string payload;
  auto operator<=>(const data_packet&) const = default;
};

/// Ends a flow. Caller to target.
struct close_packet
{
  flow_key flow;
  auto operator<=>(const close_packet&) const = default;
};

/// Ends a flow. Target or daemon to caller.
struct reset_packet
{
  flow_key flow;
  reset_reason reason = reset_reason::unknown_flow;
  target_report report;
  auto operator<=>(const reset_packet&) const = default;
};

/// Asks for one run. Caller to target; the dispatching daemon sets run_id and the remaining deadline.
struct request_packet
{
  flow_key flow;
  std::uint64_t request_id = 0;
  std::uint32_t attempt = 1;
  std::string idempotency_key;   ///< Empty for an idempotent request.
  std::uint32_t age_ms = 0;      ///< Time since the caller first sent this idempotency key.
  std::uint32_t deadline_ms = 0; ///< Time left until the caller gives up.
  std::uint64_t run_id = 0;      ///< 0 from the caller.
  std::string payload;
  auto operator<=>(const request_packet&) const = default;
};

/// Withdraws a request. Caller to target.
struct cancel_packet
{
  flow_key flow;
  std::uint64_t request_id = 0;
  std::uint32_t attempt = 1;
  std::string idempotency_key;
  std::uint64_t run_id = 0;
  auto operator<=>(const cancel_packet&) const = default;
};

/// One segment of an answer. Target to caller.
struct answer_packet
{
  flow_key flow;
  std::uint64_t request_id = 0;
  std::uint32_t attempt = 1;
  std::uint64_t run_id = 0;
  std::uint16_t segment = 0;
  std::uint16_t segment_count = 1;
  target_report report;
  std::string payload;
  auto operator<=>(const answer_packet&) const = default;
};

/// Ends a request without an answer. Target or daemon to caller.
struct refusal_packet
{
  flow_key flow;
  std::uint64_t request_id = 0;
  std::uint32_t attempt = 1;
  std::uint64_t run_id = 0;
  run_outcome outcome = run_outcome::may_have_run;
  refusal_reason reason = refusal_reason::overloaded;
  bool safe_to_retry = false; ///< True for idempotent requests.
  target_report report;
  auto operator<=>(const refusal_packet&) const = default;
};

using packet = std::variant<open_packet,
                            opened_packet,
                            data_packet,
                            close_packet,
                            reset_packet,
                            request_packet,
                            cancel_packet,
                            answer_packet,
                            refusal_packet>;

/// The two ends that a packet of any kind names.
inline const flow_key&
flow_of(const packet& value)
{
  return std::visit([](const auto& kind) -> const flow_key& { return kind.flow; }, value);
}

const char*
to_string(reset_reason value);
const char*
to_string(run_outcome value);
const char*
to_string(refusal_reason value);
const char*
to_string(target_condition value);

}
