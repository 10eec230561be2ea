#pragma once

#include "carried/record_path.h"

#include "coltsfootlock/transport/page_server.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace coltsfootlock::peer_pages {

/// The path and query of a call to another daemon.
std::string
request_target(const record_call& call);

/// Reads another daemon's answer to `call`.
record_response
read_response(const record_call& call, const http_answer& response);

/// The path and query with which a daemon introduces itself and asks for the members of its domain.
std::string
member_list_request_target(const fleet_member& self);

/// Answers that several followers get alike, encoded once.
class encoded_changes
{
public:
  /// All records; empty before they are known.
  std::optional<std::string> all(const record_cache& cache);

  /// The changes after a revision; empty if they are not kept.
  std::optional<std::string> since(const record_cache& cache, std::uint64_t revision);

private:
  void discard_outdated(const record_cache& cache);

  std::uint64_t revision_ = 0; ///< Of the book when the answers were encoded.
  std::optional<std::string> all_;
  std::map<std::uint64_t, std::string> since_; ///< By the revision that a follower has.
};

/// Adds the pages that other daemons read: records as a list and as changes, and the members of a domain.
/// `oldest_records`: records beyond this age are told at once, so that the other daemon can look elsewhere.
void
add_pages(page_server& server, const record_path& records, source_choice& sources, milliseconds max_record_age);

}
