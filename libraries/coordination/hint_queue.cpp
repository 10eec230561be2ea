#include "hint_queue.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

constexpr std::size_t datagram_overhead_bytes = 120; // headers of IP and UDP, seal with sender and sequence
constexpr std::size_t record_overhead_bytes = 28;    // two endpoints and the framing of the record
constexpr std::size_t max_batch_bytes = 1000;        // fits into one datagram with room to spare
constexpr milliseconds max_batch_delay{ 200 };
constexpr double burst_seconds = 2.0;

}

hint_queue::hint_queue(std::size_t bytes_per_second)
  : bytes_per_second_(static_cast<double>(bytes_per_second))
  , budget_(bytes_per_second_)
{
}

void
hint_queue::accrue(instant now)
{
  if (accrued_ != instant{} && now > accrued_) {
    const double elapsed = std::chrono::duration<double>(now - accrued_).count();
    budget_ = std::min(budget_ + elapsed * bytes_per_second_, burst_seconds * bytes_per_second_);
  }
  accrued_ = std::max(accrued_, now);
}

bool
hint_queue::add(std::uint32_t peer, flow_record record, instant now)
{
  accrue(now);
  const std::size_t bytes = record_overhead_bytes + record.target.size() + record.account.size();
  const auto found = batches_.find(peer);
  const bool opens_batch = found == batches_.end();
  const std::size_t cost = bytes + (opens_batch ? datagram_overhead_bytes : 0);
  if (budget_ < static_cast<double>(cost)) {
    return false;
  }
  if (!opens_batch) {
    const auto& queued = found->second.hints.records;
    const bool repeated = std::any_of(
      queued.begin(), queued.end(), [&record](const flow_record& other) { return other.flow == record.flow; });
    if (repeated || found->second.bytes + bytes > max_batch_bytes) {
      return false;
    }
  }
  budget_ -= static_cast<double>(cost);
  batch& peer_batch = batches_[peer];
  if (opens_batch) {
    peer_batch.since = now;
  }
  peer_batch.bytes += bytes;
  peer_batch.hints.records.push_back(std::move(record));
  return true;
}

std::vector<std::pair<std::uint32_t, route_hints>>
hint_queue::take_due(instant now)
{
  std::vector<std::pair<std::uint32_t, route_hints>> due;
  for (auto entry = batches_.begin(); entry != batches_.end();) {
    if (now - entry->second.since < max_batch_delay) {
      ++entry;
      continue;
    }
    due.emplace_back(entry->first, std::move(entry->second.hints));
    entry = batches_.erase(entry);
  }
  return due;
}

}
