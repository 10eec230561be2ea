#pragma once

#include "coltsfootlock/coordination/timing.h"
#include "membership.h"

#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Computes how long this daemon may spend shares and accept keys, from heartbeats and platform responses. All
/// deadlines use the local clock.
class authority
{
public:
  authority(vm_id self, std::string domain, timing times);

  void confirm_list(instant now);
  void confirm_catalogue(instant now);

  /// Time until which heartbeats of a majority of `listed` permit spending; empty without a majority.
  std::optional<instant> majority_until(const std::vector<vm_id>& listed, const membership& peers, instant now) const;

  /// Time until which heartbeats of all `other_domains` permit accepting keys; empty if one is missing.
  std::optional<instant> domains_until(const std::vector<std::string>& other_domains,
                                       const membership& peers,
                                       instant now) const;

  std::optional<instant> spend_until(const std::vector<vm_id>& listed, const membership& peers, instant now) const;
  std::optional<instant> keys_until(const std::vector<std::string>& other_domains,
                                    const membership& peers,
                                    instant now) const;

private:
  vm_id self_;
  std::string domain_;
  timing times_;
  std::optional<instant> list_confirmed_;
  std::optional<instant> catalogue_confirmed_;
};

}
