#pragma once

#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include <msgpack.hpp>

namespace coltsfootlock {

/// Writes the fields of one message as elements of a MessagePack array. Has the same operations as field_reader, so
/// that one description of a message serves both directions.
class field_writer
{
public:
  explicit field_writer(msgpack::sbuffer& buffer)
    : packer_(buffer)
  {
  }

  /// Starts an array with `count` elements.
  void begin(std::size_t count) { packer_.pack_array(static_cast<std::uint32_t>(count)); }

  template<typename number_type>
  void number(const number_type& value)
  {
    packer_.pack(value);
  }

  void flag(const bool& value) { packer_.pack(value); }

  void text(const std::string& value, std::size_t /*limit*/) { packer_.pack(value); }

  void bytes(const std::string& value, std::size_t /*limit*/)
  {
    packer_.pack_bin(static_cast<std::uint32_t>(value.size()));
    packer_.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
  }

  template<typename enumeration_type>
  void enumeration(const enumeration_type& value, enumeration_type /*last*/)
  {
    packer_.pack(static_cast<std::underlying_type_t<enumeration_type>>(value));
  }

  template<typename element_type, typename describe_type>
  void list(const std::vector<element_type>& values, std::size_t /*limit*/, const describe_type& describe)
  {
    begin(values.size());
    for (const element_type& value : values) {
      describe(*this, value);
    }
  }

  /// Writes a nested array with a fixed number of elements.
  template<typename describe_type>
  void nested(std::size_t count, const describe_type& describe)
  {
    begin(count);
    describe(*this);
  }

private:
  msgpack::packer<msgpack::sbuffer> packer_;
};

}
