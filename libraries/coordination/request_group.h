#pragma once

#include "class_queues.h"
#include "domain_choice.h"
#include "target_admission.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootlock {

/// The targets of one target group in the daemon's own domain, with the requests queued for them.
struct request_group
{
  std::string name;
  class_queues queues;
  std::vector<target_admission*> targets;     ///< Listed in the own domain, including leaving targets.
  std::vector<std::uint32_t> peer_free_slots; ///< Free slots by peer: as reported, minus requests sent there since.
  std::vector<bool> has_capacity;             ///< By domain: it has usable targets and a daemon that accepts requests.
  domain_choice domains;
  double mean_run_ms = 0;       ///< Moving average of the run time; 0 before the first answer.
  std::size_t first_target = 0; ///< Start of the next round-robin choice among equal targets.
};

}
