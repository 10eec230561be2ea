#include "field_reader.h"

#include <utility>

namespace coltsfootlock {

namespace {

constexpr std::size_t nesting_limit = 8;

}

field_reader::field_reader(const msgpack::object& object, error& why)
  : why_(&why)
{
  if (object.type != msgpack::type::ARRAY) {
    fail("expected a MessagePack array");
    return;
  }
  elements_ = object.via.array.ptr;
  size_ = object.via.array.size;
}

void
field_reader::fail(std::string message)
{
  if (ok_) {
    *why_ = { error_kind::syntax, std::move(message) };
  }
  ok_ = false;
}

const msgpack::object*
field_reader::next()
{
  if (!ok_) {
    return nullptr;
  }
  if (position_ == size_) {
    fail("a field is missing after element " + std::to_string(position_));
    return nullptr;
  }
  return &elements_[position_++];
}

std::uint64_t
field_reader::take_number(std::uint64_t limit)
{
  const msgpack::object* object = next();
  if (object == nullptr) {
    return 0;
  }
  if (object->type != msgpack::type::POSITIVE_INTEGER || object->via.u64 > limit) {
    fail("element " + std::to_string(position_ - 1) + " is not a number from 0 to " + std::to_string(limit));
    return 0;
  }
  return object->via.u64;
}

void
field_reader::flag(bool& value)
{
  const msgpack::object* object = next();
  if (object == nullptr) {
    return;
  }
  if (object->type != msgpack::type::BOOLEAN) {
    fail("element " + std::to_string(position_ - 1) + " is not true or false");
    return;
  }
  value = object->via.boolean;
}

void
field_reader::text(std::string& value, std::size_t limit)
{
  take_text(value, limit, false);
}

void
field_reader::bytes(std::string& value, std::size_t limit)
{
  take_text(value, limit, true);
}

void
field_reader::take_text(std::string& value, std::size_t limit, bool binary)
{
  const msgpack::object* object = next();
  if (object == nullptr) {
    return;
  }
  std::string_view content;
  if (binary && object->type == msgpack::type::BIN) {
    content = { object->via.bin.ptr, object->via.bin.size };
  } else if (!binary && object->type == msgpack::type::STR) {
    content = { object->via.str.ptr, object->via.str.size };
  } else {
    fail("element " + std::to_string(position_ - 1) + " is not " + (binary ? "binary" : "a string"));
    return;
  }
  if (content.size() > limit) {
    fail("element " + std::to_string(position_ - 1) + " is longer than " + std::to_string(limit) + " bytes");
    return;
  }
  value.assign(content);
}

msgpack::object_handle
unpack_bounded(std::string_view bytes, std::size_t limit, error& why)
{
  if (bytes.size() > limit) {
    why = { error_kind::too_large,
            "the message has " + std::to_string(bytes.size()) + " bytes; at most " + std::to_string(limit) +
              " are accepted" };
    return {};
  }
  // Every element takes at least one byte, so no valid array is longer than the message itself.
  const msgpack::unpack_limit limits(limit, limit, limit, limit, limit, nesting_limit);
  try {
    std::size_t offset = 0;
    msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
    if (offset == bytes.size()) {
      return handle;
    }
    why = { error_kind::syntax, "bytes follow the message; send one message per datagram" };
  } catch (const msgpack::unpack_error& failure) {
    why = { error_kind::syntax, std::string("not a MessagePack message within its limits: ") + failure.what() };
  }
  return {};
}

}
