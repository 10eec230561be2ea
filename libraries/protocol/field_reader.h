#pragma once

#include "coltsfootlock/state/error.h"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <msgpack.hpp>

namespace coltsfootlock {

/// Reads the fields of one message from a MessagePack array. After the first failure every further read does nothing;
/// the caller checks ok() once at the end.
class field_reader
{
public:
  field_reader(const msgpack::object& object, error& why);

  bool ok() const { return ok_; }

  /// True if every element was read.
  bool at_end() const { return position_ == size_; }

  template<typename number_type>
  void number(number_type& value)
  {
    value = static_cast<number_type>(take_number(std::numeric_limits<number_type>::max()));
  }

  void flag(bool& value);
  void text(std::string& value, std::size_t limit);
  void bytes(std::string& value, std::size_t limit);

  template<typename enumeration_type>
  void enumeration(enumeration_type& value, enumeration_type last)
  {
    value = static_cast<enumeration_type>(take_number(static_cast<std::uint64_t>(last)));
  }

  template<typename element_type, typename describe_type>
  void list(std::vector<element_type>& values, std::size_t limit, const describe_type& describe)
  {
    const msgpack::object* object = next();
    if (object == nullptr) {
      return;
    }
    field_reader elements(*object, *why_);
    if (!elements.ok() || elements.size_ > limit) {
      fail("a list is longer than its limit of " + std::to_string(limit) + " elements; send fewer");
      return;
    }
    values.reserve(elements.size_);
    while (elements.ok() && !elements.at_end()) {
      describe(elements, values.emplace_back());
    }
    ok_ = elements.ok();
  }

  template<typename describe_type>
  void nested(std::size_t count, const describe_type& describe)
  {
    const msgpack::object* object = next();
    if (object == nullptr) {
      return;
    }
    field_reader elements(*object, *why_);
    if (!elements.ok() || elements.size_ != count) {
      fail("a nested array does not have " + std::to_string(count) + " elements");
      return;
    }
    describe(elements);
    ok_ = elements.ok();
  }

  void fail(std::string message);

private:
  const msgpack::object* next();
  std::uint64_t take_number(std::uint64_t limit);
  void take_text(std::string& value, std::size_t limit, bool binary);

  const msgpack::object* elements_ = nullptr;
  std::uint32_t size_ = 0;
  std::uint32_t position_ = 0;
  error* why_;
  bool ok_ = true;
};

/// Unpacks exactly one MessagePack object with bounded nesting and sizes; an empty handle with the reason in `why` on
/// failure.
msgpack::object_handle
unpack_bounded(std::string_view bytes, std::size_t limit, error& why);

}
