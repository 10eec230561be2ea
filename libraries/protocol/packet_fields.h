#pragma once

#include "coltsfootlock/state/packet.h"

#include <cstddef>
#include <type_traits>

namespace coltsfootlock {

/// Descriptions of the packet kinds for field_reader and field_writer: the order of the fields on the wire.

template<typename value_type, typename expected_type>
concept is_kind = std::is_same_v<std::remove_const_t<value_type>, expected_type>;

template<typename codec_type, is_kind<flow_key> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  codec.number(value.caller.address);
  codec.number(value.caller.port);
  codec.number(value.service.address);
  codec.number(value.service.port);
}

template<typename codec_type, is_kind<target_report> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  codec.number(value.incarnation);
  codec.enumeration(value.condition, target_condition::leaving);
}

template<typename codec_type, is_kind<open_packet> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  describe_fields(codec, value.flow);
}

template<typename codec_type, is_kind<opened_packet> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  describe_fields(codec, value.flow);
  describe_fields(codec, value.report);
}

template<typename codec_type, is_kind<data_packet> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  describe_fields(codec, value.flow);
  codec.flag(value.to_target);
  describe_fields(codec, value.report);
  codec.bytes(value.payload, max_packet_bytes);
}

template<typename codec_type, is_kind<close_packet> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  describe_fields(codec, value.flow);
}

template<typename codec_type, is_kind<reset_packet> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  describe_fields(codec, value.flow);
  codec.enumeration(value.reason, reset_reason::closed_by_target);
  describe_fields(codec, value.report);
}

template<typename codec_type, is_kind<request_packet> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  describe_fields(codec, value.flow);
  codec.number(value.request_id);
  codec.number(value.attempt);
  codec.text(value.idempotency_key, max_idempotency_key_bytes);
  codec.number(value.age_ms);
  codec.number(value.deadline_ms);
  codec.number(value.run_id);
  codec.bytes(value.payload, max_packet_bytes);
}

template<typename codec_type, is_kind<cancel_packet> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  describe_fields(codec, value.flow);
  codec.number(value.request_id);
  codec.number(value.attempt);
  codec.text(value.idempotency_key, max_idempotency_key_bytes);
  codec.number(value.run_id);
}

template<typename codec_type, is_kind<answer_packet> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  describe_fields(codec, value.flow);
  codec.number(value.request_id);
  codec.number(value.attempt);
  codec.number(value.run_id);
  codec.number(value.segment);
  codec.number(value.segment_count);
  describe_fields(codec, value.report);
  codec.bytes(value.payload, max_packet_bytes);
}

template<typename codec_type, is_kind<refusal_packet> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  describe_fields(codec, value.flow);
  codec.number(value.request_id);
  codec.number(value.attempt);
  codec.number(value.run_id);
  codec.enumeration(value.outcome, run_outcome::may_have_run);
  codec.enumeration(value.reason, refusal_reason::key_conflict);
  codec.flag(value.safe_to_retry);
  describe_fields(codec, value.report);
}

}
