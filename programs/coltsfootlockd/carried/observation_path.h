#pragma once

#include "coltsfootlock/coordination/steering/observation_board.h"
#include "coltsfootlock/coordination/steering/steering_engine.h"
#include "coltsfootlock/transport/http_exchange.h"
#include "coltsfootlock/transport/page_server.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

/// Exchanges observations of lost and living targets with other daemons: sends new ones to the daemon whose records are
/// followed, and passes received ones to the engine.
class observation_path
{
public:
  explicit observation_path(steering_engine& engine);

  void add_descriptor(std::vector<pollfd>& wanted) const;

  /// Sends new observations to `source`, if this daemon follows one, and handles its response.
  void advance(bool ready, const std::optional<endpoint>& source, instant now);

  /// Takes the engine's own observations.
  void collect(instant now);

  /// Handles observations of another daemon.
  void on_received(const std::vector<target_observation>& observations, observation_board::origin from, instant now);

  /// Adds the page on which followers send their observations.
  void add_page(page_server& server);

  const observation_board& board() const { return board_; }
  std::uint64_t received() const { return received_; }

private:
  /// Observations per message; keeps its request line within the limit of `page_server`.
  static constexpr std::size_t max_per_message = 8;

  /// Timeout of a message, and the delay after one that failed.
  static constexpr milliseconds timeout{ 500 };

  steering_engine& engine_;
  observation_board board_;
  std::optional<http_exchange> exchange_;
  endpoint source_;
  std::vector<target_observation> in_transit_;
  instant taken_at_; ///< When `in_transit_` was taken from the board.
  instant deadline_;
  instant next_message_;
  std::uint64_t received_ = 0;
};

/// The path and query of a message with observations.
std::string
observations_request_target(const std::vector<target_observation>& observations);

/// The observations of one kind in such a message; empty if the text is malformed.
std::optional<std::vector<target_observation>>
read_observations(const std::string& text, observation_kind kind);

}
