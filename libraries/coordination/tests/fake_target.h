#pragma once

#include "coltsfootlock/state/packet.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace coltsfootlock {

/// A target of the simulated fleet. It runs each run id at most once and stops a run at its deadline.
struct fake_target
{
  struct active_run
  {
    request_packet request;
    instant deadline{};
  };

  vm_id id;
  std::string domain;
  endpoint address;
  std::uint32_t slots = 0;
  std::uint64_t incarnation = 1;
  target_condition condition = target_condition::serving;
  bool up = true;
  std::set<std::uint64_t> known_run_ids; ///< Run ids, also those of earlier incarnations.
  std::map<std::uint64_t, active_run> active;

  void drop_expired(instant now)
  {
    std::erase_if(active, [&](const auto& run) { return run.second.deadline <= now; });
  }
};

}
