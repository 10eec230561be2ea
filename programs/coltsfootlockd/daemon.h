#pragma once

#include "settings.h"

#include "coltsfootlock/state/error.h"

#include <memory>

namespace coltsfootlock {

/// The threads and servers of a running coltsfootlockd that routes recorded flows.
class daemon
{
public:
  /// Empty with the reason in `why` if an address cannot be bound.
  static std::unique_ptr<daemon> start(const settings& values, error& why);

  /// Stops all threads immediately; call leave() first for a graceful shutdown.
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  /// Carries out the graceful shutdown; returns when it is complete.
  void leave();

private:
  struct implementation;
  explicit daemon(std::shared_ptr<implementation> parts);

  std::shared_ptr<implementation> implementation_; ///< Shared, because the metrics exposer keeps a weak reference.
};

}
