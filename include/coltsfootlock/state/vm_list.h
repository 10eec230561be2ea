#pragma once

#include "coltsfootlock/state/endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootlock {

/// Name of a VM in the platform's list, for example "almaty-a-entry-1"; at most 48 bytes.
using vm_id = std::string;

/// A VM that runs one coltsfootlockd.
struct entry_vm
{
  vm_id id;
  std::string domain;
  bool leaving = false;
  endpoint packet_address; ///< UDP; the fabric sends packets of callers here.
  endpoint peer_address;   ///< UDP; other daemons send sealed datagrams here.
  endpoint call_address;   ///< TCP; JSON-RPC for peers and operators.

  auto operator<=>(const entry_vm&) const = default;
};

/// A VM that runs a back end of a target group.
struct target_vm
{
  vm_id id;
  std::string domain;
  bool leaving = false;
  std::string target_group;
  endpoint packet_address;       ///< UDP; packets and requests.
  endpoint load_address;         ///< TCP; GET /load.
  std::uint64_t incarnation = 0; ///< As the platform last saw it; 0 when unknown. May lag.

  auto operator<=>(const target_vm&) const = default;
};

/// The platform's lagging list of live and leaving VMs.
struct vm_list
{
  std::uint64_t version = 0;
  std::uint64_t digest = 0; ///< XXH3 of the published text.
  std::vector<entry_vm> entries;
  std::vector<target_vm> targets;
  std::string text;

  auto operator<=>(const vm_list&) const = default;
};

}
