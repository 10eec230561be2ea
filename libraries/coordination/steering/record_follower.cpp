#include "coltsfootlock/coordination/steering/record_follower.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

record_follower::record_follower(const follower_settings& settings, std::uint32_t seed)
  : settings_(settings)
  , random_(seed)
  , calls_left_(settings.call_burst)
{
}

void
record_follower::consume_call_budget(instant now)
{
  const std::chrono::duration<double> passed = now - calls_counted_;
  calls_left_ = std::min(settings_.call_burst, calls_left_ + passed.count() * settings_.calls_per_second);
  // The pages of a long list may use more calls than the budget has. It stops at zero, so that the next watch does not
  // wait for all of them.
  calls_left_ = std::max(calls_left_ - 1, 0.0);
  calls_counted_ = now;
  if (calls_left_ >= 1) {
    next_wakeup_ = now;
    return;
  }
  const std::chrono::duration<double> pause((1 - calls_left_) / settings_.calls_per_second);
  next_wakeup_ = now + std::chrono::duration_cast<duration>(pause);
}

std::optional<record_follower::planned_call>
record_follower::next_call(record_sender receiver, bool patient, instant now)
{
  const bool from_peer = receiver != record_sender::store;
  if (calling_ || (!from_peer && now < next_wakeup_)) {
    return std::nullopt;
  }
  if (from_peer != (sender_ != record_sender::store)) {
    list_after_.clear(); // Pages of different senders cannot be combined.
  }
  calling_ = true;
  sender_ = receiver;
  if (!from_peer) {
    consume_call_budget(now);
  }
  milliseconds wait{ 0 };
  if (!listing_) {
    wait = from_peer ? peer_wait(patient, now) : store_wait(now);
  }
  source_changed_ = false;
  latest_sending_ = now + wait;
  if (listing_) {
    if (list_after_.empty()) {
      list_is_old_ = !from_peer && position_ == store_position{} && !avoids_old_pages_;
    }
    return planned_call{ list_call{ list_after_, list_is_old_ && !avoids_old_pages_, era_ }, settings_.list_timeout };
  }
  const milliseconds slack = from_peer ? settings_.peer_slack : settings_.response_slack;
  return planned_call{ watch_call{ position_, wait }, wait + slack };
}

/// A pause of the call budget before the watch counts as part of its wait, so that the records of a daemon that reads
/// the store are confirmed every `watch_wait`. A watch after a failed call does not wait: its response shows that the
/// store serves.
milliseconds
record_follower::store_wait(instant now) const
{
  if (!confirmed_at_ || failures_ > 0) {
    return milliseconds(0);
  }
  const auto age = std::chrono::ceil<milliseconds>(now - *confirmed_at_);
  return std::clamp(settings_.watch_wait - age, milliseconds(0), settings_.watch_wait);
}

milliseconds
record_follower::peer_wait(bool patient, instant now) const
{
  const bool old = !confirmed_at_ || now - *confirmed_at_ > settings_.max_peer_record_age;
  return !patient && (old || source_changed_) ? milliseconds(0) : settings_.peer_wait;
}

record_follower::progress
record_follower::on_response(record_response response, instant now)
{
  calling_ = false;
  const auto* failed = std::get_if<call_failed>(&response);
  if (!listing_ && failed != nullptr && failed->why.kind == error_kind::too_large) {
    return on(history_unavailable{}, now);
  }
  return std::visit([this, now](auto& content) { return on(std::move(content), now); }, response);
}

void
record_follower::on_call_success(progress& result, const response_age& age, instant now)
{
  const instant known_until = confirmed_at_.value_or(now);
  if (was_interrupted(now)) {
    const instant since = served_at_.value_or(*interrupted_since_);
    assume_outage(result, outage_sign::calls_failed, since, now + settings_.outage_grace, now);
  } else if (missed_an_outage(age, now)) {
    assume_outage(result, outage_sign::records_gap, known_until, now + settings_.outage_grace, now);
  }
  if (sender_ == record_sender::store) {
    result.regained = failures_ > 0;
    failures_ = 0;
    interrupted_since_.reset();
    if (!listing_ || !list_is_old_) {
      const instant served = std::min(now, latest_sending_);
      served_at_ = std::max(served_at_.value_or(served), served);
    }
  }
  if (age.outage_grace_left > milliseconds(0)) {
    assume_outage(result, outage_sign::reported_by_source, known_until, now + age.outage_grace_left, now);
  }
}

/// Begins a grace period, or extends the one that has not ended.
void
record_follower::assume_outage(progress& result, outage_sign sign, instant since, instant grace_end, instant now)
{
  if (outage_ && outage_->grace_end > now) {
    outage_->grace_end = std::max(outage_->grace_end, grace_end);
    return;
  }
  outage_ = { sign, since, now, grace_end };
  result.outage = outage_;
}

/// True if the response is the store's first one after an interruption in which targets may have lost their records.
bool
record_follower::was_interrupted(instant now) const
{
  return sender_ == record_sender::store && interrupted_since_ &&
         now - *interrupted_since_ >= settings_.max_interruption;
}

/// True if the records of the response are much newer than the last ones, and what kept this daemon from them may have
/// kept the targets of its domain from the store: the sender is elsewhere and need not have been affected.
bool
record_follower::missed_an_outage(const response_age& age, instant now) const
{
  const std::optional<instant>& known = sender_ == record_sender::store ? served_at_ : confirmed_at_;
  return sender_ != record_sender::own_domain && known && now - age.records - *known > settings_.max_record_gap;
}

milliseconds
record_follower::domain_lag() const
{
  if (!confirmed_at_ || !served_at_) {
    return unknown_domain_lag;
  }
  return std::max(std::chrono::ceil<milliseconds>(*confirmed_at_ - *served_at_), milliseconds(0));
}

void
record_follower::on_peer_failure()
{
  calling_ = false;
}

bool
record_follower::goes_back(const record_response& response) const
{
  const auto* page = std::get_if<record_page>(&response);
  return page != nullptr && page->position < position_;
}

bool
record_follower::is_of_lower_era(const record_response& response) const
{
  struct visitor
  {
    std::optional<std::uint64_t> operator()(const record_page& page) const { return page.position.era; }
    std::optional<std::uint64_t> operator()(const record_events& events) const { return events.position.era; }
    std::optional<std::uint64_t> operator()(const history_unavailable& response) const { return response.era; }
    std::optional<std::uint64_t> operator()(const call_failed&) const { return std::nullopt; }
  };
  const auto era = std::visit(visitor{}, response);
  return era && *era < era_;
}

bool
record_follower::answers_earlier_call(const record_response& response) const
{
  if (sender_ != record_sender::store) {
    return false;
  }
  if (const auto* page = std::get_if<record_page>(&response)) {
    return page->position.era == list_position_.era && !list_after_.empty() && !page->last_key.empty() &&
           page->last_key <= list_after_;
  }
  const auto* events = std::get_if<record_events>(&response);
  return events != nullptr &&
         (events->position < position_ ||
          std::any_of(events->changes.begin(), events->changes.end(), [this](const record_change& change) {
            return change.position <= position_;
          }));
}

record_follower::progress
record_follower::on(record_page page, instant now)
{
  progress result;
  on_call_success(result, page.age, now);
  if (!list_after_.empty() && page.position.era != list_position_.era) {
    list_anew(result, page.position.era, now);
    return result;
  }
  era_ = std::max(era_, page.position.era);
  if (list_after_.empty()) {
    result.snapshot_begins = true;
    list_position_ = page.position;
  }
  list_position_ = std::min(list_position_, page.position);
  result.changes = std::move(page.records);
  if (page.more && !page.last_key.empty()) {
    list_after_ = page.last_key;
    next_wakeup_ = now;
    return result;
  }
  if (position_ != store_position{} && list_position_.era > position_.era) {
    result.era_entered = true;
    assume_outage(result, outage_sign::new_era, now, now + settings_.outage_grace, now);
  }
  // Later pages may be newer than the first one; the watch starts at the first page's position and repeats changes
  // since.
  position_ = std::max(position_, list_position_);
  result.snapshot_complete = list_position_;
  listing_ = false;
  relists_from_store_ = false;
  list_after_.clear();
  if (!list_is_old_) {
    confirm(page.age, now);
  }
  next_wakeup_ = now;
  return result;
}

record_follower::progress
record_follower::on(record_events events, instant now)
{
  progress result;
  on_call_success(result, events.age, now);
  if (events.position.era != position_.era) {
    list_anew(result, events.position.era, now);
    return result;
  }
  result.changes = std::move(events.changes);
  position_ = std::max(position_, events.position);
  confirm(events.age, now);
  return result;
}

/// The store has come back from an older copy, and what it had after that has to be told from what it has now. Whether
/// this daemon lists from the store or from another daemon is chosen as for any call.
void
record_follower::list_anew(progress& result, std::uint64_t era, instant now)
{
  result.relists_for_era = era;
  era_ = std::max(era_, era);
  listing_ = true;
  relists_from_store_ = false;
  avoids_old_pages_ = true;
  list_after_.clear();
  assume_outage(result, outage_sign::new_era, now, now + settings_.outage_grace, now);
  std::uniform_int_distribution<milliseconds::rep> delay(0, settings_.max_era_list_delay.count());
  next_wakeup_ = now + milliseconds(delay(random_));
}

void
record_follower::confirm(const response_age& age, instant now)
{
  const instant at = std::min(now, latest_sending_) - age.records;
  confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
  if (sender_ == record_sender::own_domain) {
    const instant served = at - age.domain_lag;
    served_at_ = std::max(served_at_.value_or(served), served);
    // What the store refused this daemon, it did not refuse the domain's targets.
    if (interrupted_since_ && *served_at_ > *interrupted_since_) {
      interrupted_since_.reset();
    }
  }
}

record_follower::progress
record_follower::on(const history_unavailable& response, instant now)
{
  progress result;
  on_call_success(result, {}, now);
  if (response.era && *response.era != position_.era) {
    list_anew(result, *response.era, now);
    return result;
  }
  listing_ = true;
  relists_from_store_ = sender_ == record_sender::store;
  list_is_old_ = false;
  list_after_.clear();
  next_wakeup_ = now;
  return result;
}

record_follower::progress
record_follower::on(const call_failed& response, instant now)
{
  progress result;
  result.lost = failures_ == 0;
  // An answer that is of no use here does not show that the store keeps targets from writing.
  if (response.why.kind == error_kind::unavailable && !interrupted_since_) {
    interrupted_since_ = std::min(now, latest_sending_);
  }
  ++failures_;
  if (failures_ == 1) {
    next_wakeup_ = now;
    return result;
  }
  const unsigned doublings = std::min(failures_ - 2, 8U);
  const milliseconds longest = std::min(settings_.initial_retry_delay * (1U << doublings), settings_.max_retry_delay);
  std::uniform_int_distribution<milliseconds::rep> pause(longest.count() / 2, longest.count());
  next_wakeup_ = now + milliseconds(pause(random_));
  return result;
}

}
