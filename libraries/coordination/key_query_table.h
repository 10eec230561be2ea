#pragma once

#include "request_waiter.h"

#include "coltsfootlock/state/packet.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace coltsfootlock {

/// A request that is held while the previous owner of its idempotency key is queried.
struct key_query
{
  request_packet request;
  vm_id queried;
  instant sent_at{};
};

/// Open queries to previous owners of keys, one for each attempt of a request, bounded in number and time.
class key_query_table
{
public:
  key_query_table(std::size_t limit, duration timeout);

  bool contains(const request_packet& request) const;

  /// Adds a query; false if the limit is reached.
  bool open(key_query query);

  /// Removes and returns the query for the request if `from` is the queried daemon.
  std::optional<key_query> close(const request_packet& request, const vm_id& from);

  /// Removes and returns the queries without a response in time.
  std::vector<key_query> expire(instant now);

private:
  struct opened_query
  {
    request_waiter id;
    instant sent_at{};
  };

  std::size_t limit_;
  duration timeout_;
  std::map<request_waiter, key_query> queries_;
  std::deque<opened_query> by_age_; ///< May contain queries that are already closed.
};

}
