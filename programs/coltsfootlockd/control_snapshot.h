#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/time.h"

#include <memory>
#include <optional>

namespace coltsfootlock {

/// State of the control thread, published for other threads.
struct control_snapshot
{
  std::shared_ptr<const routing_view> view; ///< Null until a catalogue and a VM list have been received.
  bool serving = false;
  bool leaving = false;
  instant started{};
  std::optional<instant> catalogue_adopted_at;
  std::optional<instant> platform_responded_at; ///< Time of the platform's last response for any record.
  std::optional<error> last_reason;
};

}
