#include "key_query_table.h"

#include <utility>

namespace coltsfootlock {

namespace {

request_waiter
id_of(const request_packet& request)
{
  return { request.flow, request.request_id, request.attempt };
}

}

key_query_table::key_query_table(std::size_t limit, duration timeout)
  : limit_(limit)
  , timeout_(timeout)
{
}

bool
key_query_table::contains(const request_packet& request) const
{
  return queries_.contains(id_of(request));
}

bool
key_query_table::open(key_query query)
{
  if (by_age_.size() >= limit_) {
    return false;
  }
  const request_waiter id = id_of(query.request);
  by_age_.push_back({ id, query.sent_at });
  queries_.insert_or_assign(id, std::move(query));
  return true;
}

std::optional<key_query>
key_query_table::close(const request_packet& request, const vm_id& from)
{
  const auto found = queries_.find(id_of(request));
  const bool expected = found != queries_.end() && found->second.queried == from &&
                        found->second.request.idempotency_key == request.idempotency_key;
  if (!expected) {
    return std::nullopt;
  }
  key_query query = std::move(found->second);
  queries_.erase(found);
  return query;
}

std::vector<key_query>
key_query_table::expire(instant now)
{
  std::vector<key_query> expired;
  while (!by_age_.empty() && now - by_age_.front().sent_at >= timeout_) {
    const opened_query oldest = by_age_.front();
    by_age_.pop_front();
    const auto found = queries_.find(oldest.id);
    // A later query for the same attempt has its own entry in by_age_.
    if (found != queries_.end() && found->second.sent_at == oldest.sent_at) {
      expired.push_back(std::move(found->second));
      queries_.erase(found);
    }
  }
  return expired;
}

}
