#pragma once

#include "coltsfootlock/coordination/routing_view.h"

#include <memory>

namespace coltsfootlock::benchmark {

inline constexpr endpoint example_service{ 0x0a000001, 443 };

/// A settled view of one daemon in three domains with 3, 3 and 2 entry VMs and 5, 5 and 4 targets, all alive. The
/// limits of connections are so high that they never bind.
std::shared_ptr<const routing_view>
example_view(instant now);

}
