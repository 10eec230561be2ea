#pragma once

#include "coltsfootlock/coordination/steering/source_choice.h"
#include "coltsfootlock/transport/http_exchange.h"

#include <cstddef>
#include <optional>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

/// Registers this daemon with the seeds in turn, and receives the members of its domain from them.
class member_discovery
{
public:
  member_discovery(const fleet_member& self, std::vector<endpoint> seeds, source_choice& sources);

  /// True if there is another daemon among the seeds.
  bool has_other_seeds() const;

  void set_seeds(std::vector<endpoint> seeds) { seeds_ = std::move(seeds); }

  void add_descriptor(std::vector<pollfd>& wanted) const;

  /// Starts a due exchange with a seed and handles a response or a timeout.
  void advance(bool ready, instant now);

private:
  /// Timeout of an exchange; the next one goes to the next seed.
  static constexpr milliseconds timeout{ 1000 };

  void start(instant now);
  void on_response(const http_answer& response, instant now);

  const fleet_member self_;
  std::vector<endpoint> seeds_;
  std::size_t next_seed_ = 0;
  std::optional<http_exchange> exchange_;
  endpoint current_seed_;
  instant deadline_;
  source_choice& sources_;
};

}
