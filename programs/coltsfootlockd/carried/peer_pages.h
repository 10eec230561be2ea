#pragma once

#include "carried/record_path.h"

#include "coltsfootlock/protocol/load_codec.h"
#include "coltsfootlock/transport/page_server.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace coltsfootlock::peer_pages {

/// What a watch of another daemon's records states beyond the call itself.
struct watch_options
{
  std::uint64_t observation = 0; ///< Number of the newest observation of lost targets received from it.
  milliseconds max_age{ 0 };     ///< If the other daemon's records are older, it is to respond at once.
  std::uint64_t loads = 0;       ///< Number of the newest load totals received from it.

  auto operator<=>(const watch_options&) const = default;
};

/// Returns the path and query of a call to another daemon.
std::string
request_target(const record_call& call, const watch_options& options);

/// Parses another daemon's response to `call`.
record_response
read_response(const record_call& call, const http_answer& response);

/// Returns the path and query with which a daemon registers and requests the members of its domain.
std::string
member_list_request_target(const fleet_member& self);

/// Caches encoded responses, which are the same for several followers.
class encoded_changes
{
public:
  /// All records; empty before they have been received.
  std::optional<std::string> all(const record_cache& cache);

  /// The changes after a position; empty if they are no longer cached.
  std::optional<std::string> since(const record_cache& cache, const store_position& position);

private:
  void discard_outdated(const record_cache& cache);

  store_position position_;           ///< Position of the record cache when the responses were encoded.
  std::uint64_t expired_records_ = 0; ///< Of the record cache, at the same time.
  std::optional<std::string> all_;
  std::map<store_position, std::string> since_; ///< By the follower's position.
};

/// Caches the encoded load totals, which are the same for all followers.
class encoded_totals
{
public:
  /// The totals for a follower that has those with `number`; empty if there are no newer ones.
  std::optional<encoded_loads> after(std::uint64_t number, const load_board& loads, instant now);

private:
  std::uint64_t number_ = 0; ///< Of the encoded totals.
  std::string rows_;
};

/// Adds the pages for other daemons: records as a list and as changes, and the members of a domain.
void
add_pages(page_server& server,
          const record_path& records,
          const observation_board& observations,
          const load_board& loads,
          source_choice& sources);

}
