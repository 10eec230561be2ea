#pragma once

#include "packet_fields.h"

#include "coltsfootlock/state/peer_message.h"

#include <cstddef>

namespace coltsfootlock {

inline constexpr std::size_t max_name_bytes = 48;
inline constexpr std::size_t max_domain_members = 256;
inline constexpr std::size_t max_heartbeat_targets = 1024;
inline constexpr std::size_t max_hint_records = 2048;

template<typename codec_type, is_kind<group_capacity> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  codec.nested(2, [&](auto& inner) {
    inner.text(value.target_group, max_name_bytes);
    inner.number(value.free_slots);
  });
}

template<typename codec_type, is_kind<target_status> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  codec.nested(4, [&](auto& inner) {
    inner.text(value.target, max_name_bytes);
    inner.number(value.incarnation);
    inner.number(value.warm_ms);
    inner.flag(value.leaving);
  });
}

template<typename codec_type, is_kind<flow_record> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  codec.nested(6, [&](auto& inner) {
    describe_fields(inner, value.flow);
    inner.text(value.target, max_name_bytes);
    inner.text(value.account, max_name_bytes);
  });
}

/// Describes a list element that writes itself as a nested array.
struct describe_element
{
  template<typename codec_type, typename value_type>
  void operator()(codec_type& codec, value_type& value) const
  {
    describe_fields(codec, value);
  }
};

struct describe_name
{
  template<typename codec_type, typename value_type>
  void operator()(codec_type& codec, value_type& value) const
  {
    codec.text(value, max_name_bytes);
  }
};

template<typename codec_type, is_kind<heartbeat> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  codec.text(value.sender, max_name_bytes);
  codec.text(value.domain, max_name_bytes);
  codec.number(value.boot_id);
  codec.number(value.sequence);
  codec.enumeration(value.state, daemon_state::leaving);
  codec.number(value.catalogue_version);
  codec.number(value.catalogue_digest);
  codec.number(value.vm_list_version);
  codec.number(value.vm_list_digest);
  codec.number(value.domain_catalogue_version);
  codec.number(value.adopted_entry_set);
  codec.flag(value.released);
  codec.list(value.alive_members, max_domain_members, describe_name{});
  codec.list(value.capacity, max_heartbeat_targets, describe_element{});
  codec.list(value.targets, max_heartbeat_targets, describe_element{});
}

template<typename codec_type, is_kind<route_hints> value_type>
void
describe_fields(codec_type& codec, value_type& value)
{
  codec.list(value.records, max_hint_records, describe_element{});
}

}
