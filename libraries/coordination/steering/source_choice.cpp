#include "coltsfootlock/coordination/steering/source_choice.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coltsfootlock {

source_choice::source_choice(std::string self, std::string domain, std::uint32_t link_kbps)
  : self_(std::move(self))
  , domain_(std::move(domain))
  , self_rank_{ link_kbps, rendezvous_score(hash_text(domain_), self_) }
{
}

void
source_choice::on_member(const fleet_member& member, instant now)
{
  if (member.id == self_) {
    return;
  }
  std::erase_if(members_, [now](const auto& entry) { return now - entry.second.last_seen > member_lifetime; });
  member_state& state = members_[member.id];
  if (state.member.call_address != member.call_address) {
    state.failures = 0;
    state.excluded_until = instant{};
  }
  state.member = member;
  state.last_seen = now;
  state.rank = { member.link_kbps, rendezvous_score(hash_text(member.domain), member.id) };
}

std::size_t
source_choice::relay_count(std::size_t daemons_in_domain)
{
  return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(daemons_in_domain))));
}

/// All members that were reported within `member_lifetime`, in descending order of rank.
std::vector<const source_choice::member_state*>
source_choice::by_rank(instant now) const
{
  std::vector<const member_state*> result;
  for (const auto& [id, state] : members_) {
    if (now - state.last_seen <= member_lifetime) {
      result.push_back(&state);
    }
  }
  std::sort(result.begin(), result.end(), [](const member_state* left, const member_state* right) {
    return left->rank > right->rank;
  });
  return result;
}

member_list
source_choice::member_list_for(const std::string& domain, instant now) const
{
  member_list result;
  result.daemons_in_domain = members_seen_in(domain, now) + (domain == domain_ ? 1 : 0);
  const std::size_t max_listed = std::max(min_listed_members, relay_count(result.daemons_in_domain));
  std::map<std::string, std::size_t> contacts;
  for (const member_state* state : by_rank(now)) {
    const std::size_t limit = state->member.domain == domain ? max_listed : members_per_other_domain;
    if (contacts[state->member.domain]++ < limit) {
      result.members.push_back(state->member);
    }
  }
  return result;
}

std::vector<fleet_member>
source_choice::contacts(instant now) const
{
  std::vector<fleet_member> result;
  std::map<std::string, std::size_t> counts;
  for (const member_state* state : by_rank(now)) {
    if (state->member.domain != domain_ && counts[state->member.domain]++ < members_per_other_domain) {
      result.push_back(state->member);
    }
  }
  return result;
}

void
source_choice::on_member_list(const member_list& response, instant now)
{
  reported_daemons_ = response.daemons_in_domain;
  members_awaited_since_.reset();
  for (const fleet_member& member : response.members) {
    on_member(member, now);
  }
}

std::size_t
source_choice::members_seen_in(const std::string& domain, instant now) const
{
  const auto count = std::count_if(members_.begin(), members_.end(), [&domain, now](const auto& entry) {
    return entry.second.member.domain == domain && now - entry.second.last_seen <= member_lifetime;
  });
  return static_cast<std::size_t>(count);
}

std::size_t
source_choice::daemons_in_domain(instant now) const
{
  return std::max(reported_daemons_, members_seen_in(domain_, now) + 1);
}

const source_choice::member_state*
source_choice::best_member(bool own_domain, instant now) const
{
  const member_state* best = nullptr;
  for (const auto& [id, state] : members_) {
    if ((state.member.domain == domain_) != own_domain || now - state.last_seen > member_lifetime ||
        state.excluded_until > now) {
      continue;
    }
    if (best == nullptr || state.rank > best->rank) {
      best = &state;
    }
  }
  return best;
}

/// The relay to follow; null if this daemon is a relay itself, or if no relay is available.
const source_choice::member_state*
source_choice::relay(const member_state& reader, instant now) const
{
  const std::size_t relays = relay_count(daemons_in_domain(now));
  const std::uint64_t self = hash_text(self_);
  const member_state* chosen = nullptr;
  std::uint64_t best_score = 0;
  std::size_t position = 0;
  for (const member_state* state : by_rank(now)) {
    if (state->member.domain != domain_) {
      continue;
    }
    if (position == relays) {
      break;
    }
    ++position;
    if (state->rank <= self_rank_) {
      return nullptr;
    }
    const std::uint64_t score = rendezvous_score(self, state->member.id);
    if (state != &reader && state->excluded_until <= now && (chosen == nullptr || score > best_score)) {
      chosen = state;
      best_score = score;
    }
  }
  return position == relays ? chosen : nullptr;
}

std::optional<fleet_member>
source_choice::peer(instant now) const
{
  const member_state* reader = best_member(true, now);
  if (reader == nullptr || reader->rank <= self_rank_) {
    return std::nullopt;
  }
  const member_state* chosen = domain_is_large(now) ? relay(*reader, now) : nullptr;
  return chosen != nullptr ? chosen->member : reader->member;
}

std::optional<fleet_member>
source_choice::fallback(instant now) const
{
  const member_state* best = best_member(true, now);
  if (best == nullptr) {
    best = best_member(false, now);
  }
  return best == nullptr ? std::nullopt : std::optional<fleet_member>(best->member);
}

void
source_choice::expect_members(instant now)
{
  members_awaited_since_ = now;
}

record_source
source_choice::choose(const store_condition& store, instant now)
{
  if (store.has_list && members_awaited_since_) {
    const instant until = *members_awaited_since_ + (store.urgent ? max_urgent_member_wait : max_member_wait);
    if (now < until) {
      return await_members{ until };
    }
  }
  if (store.relisting) {
    return read_store{};
  }
  if (in_outage()) {
    return choose_during_outage(store, now);
  }
  if ((store.overdue || old_sources_ >= min_old_sources) && !store.failed && store.callable) {
    return read_store{ true };
  }
  if (now < recovery_source_until_ && !store.failing) {
    const auto source = members_.find(recovery_source_);
    if (recovery_source_.empty()) {
      return read_store{};
    }
    if (source != members_.end() && source->second.excluded_until <= now) {
      return follow_member{ source->second.member, age_tolerance::usual };
    }
  }
  auto wanted = peer(now);
  if (!wanted && store.failing) {
    wanted = fallback(now);
  }
  if (!wanted) {
    return read_store{};
  }
  const auto tolerance = is_successor(now) ? age_tolerance::short_time
                         : is_relay(now)   ? age_tolerance::relay_time
                                           : age_tolerance::usual;
  return follow_member{ std::move(*wanted), tolerance };
}

/// True if only one available member of the domain has a higher rank than this daemon.
bool
source_choice::is_successor(instant now) const
{
  const auto higher = std::count_if(members_.begin(), members_.end(), [this, now](const auto& item) {
    const member_state& state = item.second;
    return state.member.domain == domain_ && state.rank > self_rank_ && state.excluded_until <= now &&
           now - state.last_seen <= member_lifetime;
  });
  return higher == 1;
}

/// True if other daemons of a large domain follow this one, or would while the reader is away.
bool
source_choice::is_relay(instant now) const
{
  const auto higher = std::count_if(members_.begin(), members_.end(), [this, now](const auto& item) {
    const member_state& state = item.second;
    return state.member.domain == domain_ && state.rank > self_rank_ && now - state.last_seen <= member_lifetime;
  });
  return domain_is_large(now) && static_cast<std::size_t>(higher) < relay_count(daemons_in_domain(now));
}

record_source
source_choice::choose_during_outage(const store_condition& store, instant now)
{
  const member_state* best = nullptr;
  const member_state* least_recent = nullptr;
  std::size_t higher = 0;
  for (const member_state* state : by_rank(now)) {
    if (state->member.domain != domain_) {
      continue;
    }
    higher += state->rank > self_rank_ ? 1 : 0;
    best = best == nullptr ? state : best;
    if (least_recent == nullptr || state->excluded_until < least_recent->excluded_until) {
      least_recent = state;
    }
  }
  if (higher < outage_readers) {
    return read_store{};
  }
  if (store.callable && now >= *next_probe_) {
    next_probe_ = now + probe_delay(1, now);
    return read_store{};
  }
  return follow_member{ asks_best_ ? best->member : least_recent->member, age_tolerance::unlimited };
}

/// `share` of the time in which each daemon of the domain reads the store once.
duration
source_choice::probe_delay(double share, instant now) const
{
  const auto round = std::min<duration>(outage_probe_interval * daemons_in_domain(now), max_outage_probe_delay);
  return std::chrono::duration_cast<duration>(round * share);
}

void
source_choice::end_outage(const std::string& source, instant now)
{
  old_sources_ = 0;
  if (in_outage()) {
    next_probe_.reset();
    recovery_source_ = source;
    recovery_source_until_ = now + initial_exclusion;
  }
}

void
source_choice::on_store_success(instant now)
{
  end_outage("", now);
}

void
source_choice::on_success(const std::string& id, instant now)
{
  end_outage(id, now);
  const auto found = members_.find(id);
  if (found != members_.end()) {
    found->second.failures = 0;
    found->second.excluded_until = instant{};
  }
}

void
source_choice::on_failure(const std::string& id, instant now)
{
  const auto found = members_.find(id);
  if (found == members_.end()) {
    return;
  }
  member_state& state = found->second;
  const milliseconds exclusion = std::min(initial_exclusion * (1 << std::min(state.failures, 8)), max_exclusion);
  ++state.failures;
  state.excluded_until = now + exclusion;
}

void
source_choice::on_old_records(const std::string& id, bool store_failed, instant now)
{
  if (in_outage()) {
    asks_best_ = !asks_best_;
    const auto found = members_.find(id);
    if (found != members_.end()) {
      found->second.excluded_until = std::max(found->second.excluded_until, now + initial_exclusion);
    }
    return;
  }
  on_failure(id, now);
  if (++old_sources_ < min_old_sources || !store_failed) {
    return;
  }
  asks_best_ = true;
  constexpr double hash_range = 18446744073709551616.0; // 2^64
  // All daemons have just called the store, so that the next calls are spread over the end of the round.
  next_probe_ = now + probe_delay((2 + static_cast<double>(self_rank_.hash) / hash_range) / 3, now);
}

void
source_choice::on_discovery_started(instant now)
{
  const bool alone = members_.empty();
  next_discovery_ = now + (alone ? initial_discovery_interval : discovery_interval);
}

void
source_choice::on_discovery_failed(instant now)
{
  if (awaits_first_list(now)) {
    next_discovery_ = now + seed_retry_delay;
  }
}

}
