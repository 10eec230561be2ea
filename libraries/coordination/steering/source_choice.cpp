#include "coltsfootlock/coordination/steering/source_choice.h"

#include "coltsfootlock/coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

source_choice::source_choice(std::string self, std::string domain)
  : self_(std::move(self))
  , domain_(std::move(domain))
  , self_rank_(rendezvous_score(hash_text(domain_), self_))
{
}

void
source_choice::on_member(const fleet_member& member, instant now)
{
  if (member.id == self_) {
    return;
  }
  std::erase_if(members_, [now](const auto& entry) { return now - entry.second.heard > member_lifetime; });
  member_state& state = members_[member.id];
  if (state.member.call_address != member.call_address) {
    state.failures = 0;
    state.excluded_until = instant{};
  }
  state.member = member;
  state.heard = now;
  state.rank = rendezvous_score(hash_text(member.domain), member.id);
}

fleet_introduction
source_choice::introduction_for(const std::string& domain, instant now) const
{
  std::vector<const member_state*> by_rank;
  for (const auto& [id, state] : members_) {
    if (now - state.heard <= member_lifetime) {
      by_rank.push_back(&state);
    }
  }
  std::sort(by_rank.begin(), by_rank.end(), [](const member_state* left, const member_state* right) {
    return left->rank > right->rank;
  });
  fleet_introduction result;
  result.daemons_in_domain = heard_in(domain, now) + (domain == domain_ ? 1 : 0);
  std::map<std::string, std::size_t> contacts;
  for (const member_state* state : by_rank) {
    const std::size_t most = state->member.domain == domain ? most_told_members : contacts_per_domain;
    if (contacts[state->member.domain]++ < most) {
      result.members.push_back(state->member);
    }
  }
  return result;
}

void
source_choice::on_introduced(const fleet_introduction& answer, instant now)
{
  told_daemons_ = answer.daemons_in_domain;
  for (const fleet_member& member : answer.members) {
    on_member(member, now);
  }
}

std::size_t
source_choice::heard_in(const std::string& domain, instant now) const
{
  const auto count = std::count_if(members_.begin(), members_.end(), [&domain, now](const auto& entry) {
    return entry.second.member.domain == domain && now - entry.second.heard <= member_lifetime;
  });
  return static_cast<std::size_t>(count);
}

std::size_t
source_choice::daemons_in_domain(instant now) const
{
  return std::max(told_daemons_, heard_in(domain_, now) + 1);
}

const source_choice::member_state*
source_choice::best_member(bool own_domain, instant now) const
{
  const member_state* best = nullptr;
  for (const auto& [id, state] : members_) {
    if ((state.member.domain == domain_) != own_domain || now - state.heard > member_lifetime ||
        state.excluded_until > now) {
      continue;
    }
    if (best == nullptr || state.rank > best->rank) {
      best = &state;
    }
  }
  return best;
}

std::optional<fleet_member>
source_choice::peer(instant now) const
{
  const member_state* best = best_member(true, now);
  return best == nullptr || best->rank <= self_rank_ ? std::nullopt : std::optional<fleet_member>(best->member);
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
source_choice::on_success(const std::string& id)
{
  const auto found = members_.find(id);
  if (found != members_.end()) {
    found->second.failures = 0;
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
  const milliseconds exclusion = std::min(first_exclusion * (1 << std::min(state.failures, 8)), longest_exclusion);
  ++state.failures;
  state.excluded_until = now + exclusion;
}

void
source_choice::on_introduction(instant now)
{
  const bool alone = members_.empty();
  next_introduction_ = now + (alone ? first_introductions : introduction_interval);
}

}
