#include "coltsfootlock/state/key_table.h"

#include <numeric>
#include <utility>

namespace coltsfootlock {

namespace {

std::size_t
bytes_of(const std::vector<std::string>& segments)
{
  return std::accumulate(segments.begin(), segments.end(), std::size_t{ 0 }, [](std::size_t sum, const auto& part) {
    return sum + part.size();
  });
}

bool
live(const key_entry& entry)
{
  return entry.state == key_state::queued || entry.state == key_state::sent;
}

}

key_table::key_table(std::size_t max_keys, std::size_t max_stored_bytes, duration retention)
  : max_keys_(max_keys)
  , max_stored_bytes_(max_stored_bytes)
  , retention_(retention)
{
}

key_entry*
key_table::find(const key_id& id)
{
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

key_entry*
key_table::insert(const key_id& id, instant now)
{
  if (entries_.size() >= max_keys_) {
    return nullptr;
  }
  const auto [position, added] = entries_.try_emplace(id);
  if (added) {
    position->second.first_seen = now;
    by_age_.push_back(&position->first);
  }
  return &position->second;
}

void
key_table::answer(key_entry& entry, std::vector<std::string> segments)
{
  entry.state = key_state::answered;
  entry.request = 0;
  const std::size_t bytes = bytes_of(segments);
  if (stored_bytes_ + bytes > max_stored_bytes_) {
    return;
  }
  stored_bytes_ += bytes;
  entry.answer = std::make_shared<const std::vector<std::string>>(std::move(segments));
}

void
key_table::refuse(key_entry& entry, run_outcome outcome, refusal_reason reason)
{
  entry.state = key_state::refused;
  entry.request = 0;
  entry.outcome = outcome;
  entry.reason = reason;
}

void
key_table::expire(instant now)
{
  while (!by_age_.empty()) {
    const auto oldest = entries_.find(*by_age_.front());
    if (now - oldest->second.first_seen < retention_ || live(oldest->second)) {
      return;
    }
    if (oldest->second.answer) {
      stored_bytes_ -= bytes_of(*oldest->second.answer);
    }
    by_age_.pop_front();
    entries_.erase(oldest);
  }
}

}
