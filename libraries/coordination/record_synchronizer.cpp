#include "record_synchronizer.h"

#include "coltsfootlock/coordination/invariant.h"

#include <algorithm>
#include <iterator>

namespace coltsfootlock {

namespace {

constexpr milliseconds fetch_timeout{ 2000 };
// A response that arrives later than its wait plus this time may be out of date and is not evidence.
constexpr milliseconds max_response_delay{ 1000 };
// Fallback for readers that are alive but cannot reach the platform.
constexpr seconds periodic_read_interval{ 30 };

duration
jitter(std::mt19937_64& random, duration max_delay)
{
  return duration(std::uniform_int_distribution<duration::rep>(0, max_delay.count())(random));
}

}

record_synchronizer::record_synchronizer(published_record record, duration platform_wait, timing times)
  : record_(record)
  , platform_wait_(platform_wait)
  , times_(times)
{
}

version_comparison
record_synchronizer::compare(std::uint64_t version, std::uint64_t digest) const
{
  if (!known_ || version > version_) {
    return version_comparison::newer;
  }
  if (version < version_) {
    return version_comparison::older;
  }
  return digest == digest_ ? version_comparison::equal : version_comparison::conflict;
}

void
record_synchronizer::accept(std::uint64_t version, std::uint64_t digest)
{
  if (!check_invariant(!known_ || version > version_,
                       "record_version_grows",
                       "the new version is not higher than the version in force")) {
    return;
  }
  version_ = version;
  digest_ = digest;
  known_ = true;
  std::erase_if(newer_peer_versions_, [&](const auto& entry) { return entry.second <= version_; });
  if (newer_peer_versions_.empty()) {
    fallback_read_at_.reset();
  }
}

void
record_synchronizer::on_peer_version(const vm_id& peer, std::uint64_t version, std::mt19937_64& random, instant now)
{
  if (version <= version_) {
    newer_peer_versions_.erase(peer);
    return;
  }
  if (newer_peer_versions_.empty()) {
    next_fetch_ = std::max(next_fetch_, now + jitter(random, times_.heartbeat_interval / 2));
  }
  newer_peer_versions_[peer] = version;
}

bool
record_synchronizer::on_platform_response(instant resumed, instant now)
{
  platform_responded_ = true;
  if (!outstanding_) {
    return false;
  }
  const platform_read read = *outstanding_;
  outstanding_.reset();
  return read.issued >= resumed && now - read.issued <= read.wait + max_response_delay;
}

void
record_synchronizer::on_read_failed(std::mt19937_64& random, instant now)
{
  outstanding_.reset();
  next_read_ = std::max(next_read_, now + times_.platform_retry + jitter(random, times_.platform_retry));
}

void
record_synchronizer::on_fetch_failed(std::mt19937_64& random, instant now)
{
  fetching_until_.reset();
  next_fetch_ = std::max(next_fetch_, now + jitter(random, times_.platform_retry));
}

void
record_synchronizer::on_fetched()
{
  fetching_until_.reset();
}

bool
record_synchronizer::due(const read_reasons& reasons, std::mt19937_64& random, instant now)
{
  if (reasons.reader || reasons.confirmation || !known_ || now >= periodic_read_) {
    return true;
  }
  if (!reasons.reader_silent && newer_peer_versions_.empty()) {
    fallback_read_at_.reset();
    return false;
  }
  if (!fallback_read_at_) {
    fallback_read_at_ = now + times_.platform_retry + jitter(random, 2 * times_.platform_retry);
  }
  return now >= *fallback_read_at_;
}

std::optional<control_action>
record_synchronizer::next_read(const read_reasons& reasons,
                               platform_budget& budget,
                               std::mt19937_64& random,
                               instant now)
{
  if (outstanding_ && now - outstanding_->issued < times_.platform_timeout) {
    return std::nullopt;
  }
  if (!due(reasons, random, now) || now < next_read_ || !budget.try_acquire(now)) {
    return std::nullopt;
  }
  const bool watch = known_ && (reasons.reader || reasons.confirmation);
  const seconds wait = watch ? std::chrono::duration_cast<seconds>(platform_wait_) : seconds(0);
  outstanding_ = platform_read{ now, wait };
  // Twice the retry interval, so that one record cannot use up the budget of the other.
  next_read_ = now + 2 * times_.platform_retry;
  periodic_read_ = now + periodic_read_interval + jitter(random, periodic_read_interval / 4);
  fallback_read_at_.reset();
  return read_platform{ record_, version_, wait };
}

std::optional<vm_id>
record_synchronizer::next_fetch(std::mt19937_64& random, instant now)
{
  const bool fetching = fetching_until_ && now < *fetching_until_;
  if (newer_peer_versions_.empty() || fetching || now < next_fetch_) {
    return std::nullopt;
  }
  const std::size_t index = std::uniform_int_distribution<std::size_t>(0, newer_peer_versions_.size() - 1)(random);
  const vm_id peer = std::next(newer_peer_versions_.begin(), static_cast<std::ptrdiff_t>(index))->first;
  fetching_until_ = now + fetch_timeout;
  next_fetch_ = now + times_.platform_retry;
  return peer;
}

bool
record_synchronizer::known() const
{
  return known_;
}

bool
record_synchronizer::platform_responded() const
{
  return platform_responded_;
}

std::uint64_t
record_synchronizer::version() const
{
  return version_;
}

std::uint64_t
record_synchronizer::digest() const
{
  return digest_;
}

published_record
record_synchronizer::record() const
{
  return record_;
}

}
