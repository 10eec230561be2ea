#pragma once

#include "coltsfootlock/coordination/routing_view.h"
#include "coltsfootlock/coordination/timing.h"

#include <memory>

namespace coltsfootlock {

/// Decides when a new routing view replaces the published one, and retains the view from before a change of the domain
/// order.
class view_publisher
{
public:
  explicit view_publisher(timing times);

  /// Publishes `candidate` if the traffic thread needs it now, else returns null. Sets sequence, previous and
  /// order_changed.
  std::shared_ptr<const routing_view> publish_if_needed(routing_view candidate, instant now);

  std::shared_ptr<const routing_view> current() const;

private:
  bool must_publish(const routing_view& candidate, instant now) const;
  void retain_previous(routing_view& candidate, instant now) const;

  timing times_;
  std::shared_ptr<const routing_view> current_;
  instant published_{};
};

}
