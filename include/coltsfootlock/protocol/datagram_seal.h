#pragma once

#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/vm_list.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootlock {

/// A 32-byte key shared by the daemons of one deployment.
using fleet_key = std::array<unsigned char, 32>;

/// Parses 64 hexadecimal digits.
std::optional<fleet_key>
parse_fleet_key(std::string_view text, error& why);

/// Keyed BLAKE2b digest of a JSON-RPC body, in hexadecimal.
std::string
authentication_tag(const fleet_key& key, std::string_view body);

/// True if the tag is right under one of the keys; compares in constant time.
bool
verify_authentication_tag(const std::vector<fleet_key>& keys, std::string_view body, std::string_view tag);

/// The sender, boot and content of an authenticated datagram.
struct opened_datagram
{
  vm_id sender;
  std::uint64_t boot_id = 0;
  std::string body;
};

/// Seals datagrams between daemons with keyed BLAKE2b and refuses replays. Not thread-safe.
class datagram_seal
{
public:
  /// Seals with the first key and accepts all of them (rotation).
  datagram_seal(vm_id self, std::uint64_t boot_id, std::vector<fleet_key> keys);

  std::string seal(std::string_view body);

  /// Empty with the reason in `why` if the datagram is malformed, wrongly sealed, from self, or a replay.
  std::optional<opened_datagram> open(std::string_view datagram, error& why);

private:
  struct replay_window
  {
    std::uint64_t highest = 0;
    std::array<std::uint64_t, 16> seen{}; ///< Bitmap of the 1024 sequence numbers up to the highest.

    /// False for a number that was seen, or is too old to tell.
    bool accept(std::uint64_t sequence);
  };

  bool is_new(const vm_id& sender, std::uint64_t boot_id, std::uint64_t sequence);

  vm_id self_;
  std::uint64_t boot_id_;
  std::uint64_t sequence_ = 0;
  std::vector<fleet_key> keys_;
  std::map<std::pair<vm_id, std::uint64_t>, replay_window> windows_;
};

}
