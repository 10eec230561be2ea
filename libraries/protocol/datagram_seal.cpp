#include "coltsfootlock/protocol/datagram_seal.h"

#include "field_reader.h"
#include "field_writer.h"
#include "peer_fields.h"

#include <algorithm>
#include <utility>

#include <sodium.h>

namespace coltsfootlock {

namespace {

constexpr std::size_t tag_bytes = 16;
constexpr std::size_t max_sealed_bytes = 65507; // The largest UDP payload.
constexpr std::size_t window_bits = 1024;

// Boots whose sequence numbers are remembered. A domain of 57 daemons with 75 restarts a day fills it in 200 days.
constexpr std::size_t max_windows = 16384;

using seal_tag = std::array<unsigned char, tag_bytes>;

seal_tag
tag_of(const fleet_key& key, std::string_view content)
{
  seal_tag tag{};
  crypto_generichash(tag.data(),
                     tag.size(),
                     reinterpret_cast<const unsigned char*>(content.data()),
                     content.size(),
                     key.data(),
                     key.size());
  return tag;
}

bool
matches(const fleet_key& key, std::string_view content, const unsigned char* expected)
{
  const seal_tag tag = tag_of(key, content);
  return sodium_memcmp(tag.data(), expected, tag.size()) == 0;
}

}

datagram_seal::datagram_seal(vm_id self, std::uint64_t boot_id, std::vector<fleet_key> keys)
  : self_(std::move(self))
  , boot_id_(boot_id)
  , keys_(std::move(keys))
{
}

std::string
datagram_seal::seal(std::string_view body)
{
  msgpack::sbuffer buffer(body.size() + 128);
  field_writer writer(buffer);
  writer.begin(4);
  writer.text(self_, max_name_bytes);
  writer.number(boot_id_);
  writer.number(++sequence_);
  writer.bytes(std::string(body), max_sealed_bytes);
  std::string datagram(buffer.data(), buffer.size());
  const seal_tag tag = tag_of(keys_.front(), datagram);
  datagram.append(reinterpret_cast<const char*>(tag.data()), tag.size());
  return datagram;
}

std::optional<opened_datagram>
datagram_seal::open(std::string_view datagram, error& why)
{
  if (datagram.size() <= tag_bytes || datagram.size() > max_sealed_bytes) {
    why = { error_kind::syntax, "a sealed datagram has 17 to 65507 bytes" };
    return std::nullopt;
  }
  const std::string_view content = datagram.substr(0, datagram.size() - tag_bytes);
  const auto* tag = reinterpret_cast<const unsigned char*>(datagram.data() + content.size());
  if (std::none_of(keys_.begin(), keys_.end(), [&](const fleet_key& key) { return matches(key, content, tag); })) {
    why = { error_kind::unauthenticated, "the seal fits no accepted key; set the same fleet key on every daemon" };
    return std::nullopt;
  }
  const msgpack::object_handle handle = unpack_bounded(content, max_sealed_bytes, why);
  if (!handle.zone()) {
    return std::nullopt;
  }
  field_reader reader(handle.get(), why);
  opened_datagram result;
  std::uint64_t sequence = 0;
  reader.text(result.sender, max_name_bytes);
  reader.number(result.boot_id);
  reader.number(sequence);
  reader.bytes(result.body, max_sealed_bytes);
  if (!reader.ok()) {
    return std::nullopt;
  }
  if (result.sender == self_) {
    why = { error_kind::unauthenticated,
            "the datagram names this daemon as its sender; give each VM an id of its own" };
    return std::nullopt;
  }
  if (!is_new(result.sender, result.boot_id, sequence)) {
    why = { error_kind::unauthenticated, "the datagram is a replay" };
    return std::nullopt;
  }
  return result;
}

bool
datagram_seal::is_new(const vm_id& sender, std::uint64_t boot_id, std::uint64_t sequence)
{
  const auto found = windows_.find({ sender, boot_id });
  if (found == windows_.end() && windows_.size() >= max_windows) {
    windows_.erase(windows_.begin());
  }
  return windows_[{ sender, boot_id }].accept(sequence);
}

bool
datagram_seal::replay_window::accept(std::uint64_t sequence)
{
  if (sequence + window_bits <= highest) {
    return false;
  }
  // Clears the positions between the old and the new highest number, which the ring reuses.
  const std::uint64_t first = highest + window_bits < sequence ? sequence - window_bits + 1 : highest + 1;
  for (std::uint64_t number = first; number <= sequence; ++number) {
    seen[(number % window_bits) / 64] &= ~(std::uint64_t{ 1 } << (number % 64));
  }
  highest = std::max(highest, sequence);
  std::uint64_t& word = seen[(sequence % window_bits) / 64];
  const std::uint64_t bit = std::uint64_t{ 1 } << (sequence % 64);
  if ((word & bit) != 0) {
    return false;
  }
  word |= bit;
  return true;
}

std::string
authentication_tag(const fleet_key& key, std::string_view body)
{
  const seal_tag tag = tag_of(key, body);
  std::string text(tag.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), tag.data(), tag.size());
  text.pop_back();
  return text;
}

bool
verify_authentication_tag(const std::vector<fleet_key>& keys, std::string_view body, std::string_view tag)
{
  if (tag.size() != tag_bytes * 2) {
    return false;
  }
  return std::any_of(keys.begin(), keys.end(), [&](const fleet_key& key) {
    const std::string expected = authentication_tag(key, body);
    return sodium_memcmp(expected.data(), tag.data(), tag.size()) == 0;
  });
}

}
