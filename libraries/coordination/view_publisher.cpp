#include "view_publisher.h"

#include "coltsfootlock/coordination/invariant.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace coltsfootlock {

namespace {

constexpr milliseconds min_publish_interval{ 50 };
// Smaller extensions of a deadline are not published while the published deadline is still in the future.
constexpr milliseconds deadline_step{ 250 };

struct order_of_domain
{
  bool in_service = false;
  std::map<std::string, std::size_t> targets_by_group;

  auto operator<=>(const order_of_domain&) const = default;
};

// Everything that the domain order of a flow depends on, except the connection limits.
std::map<std::string, order_of_domain>
domain_order(const routing_view& view)
{
  std::map<std::string, order_of_domain> order;
  for (const auto& [name, domain] : view.domains) {
    order[name].in_service = domain.in_service;
  }
  for (const auto& [id, target] : view.targets) {
    if (!target.leaving) {
      ++order[target.vm.domain].targets_by_group[target.vm.target_group];
    }
  }
  return order;
}

std::map<std::string, std::uint32_t>
connections_by_group(const routing_view& view)
{
  std::map<std::string, std::uint32_t> limits;
  for (const service& entry : view.services->services) {
    limits[entry.target_group] = entry.limits.connections;
  }
  return limits;
}

bool
same_order(const routing_view& left, const routing_view& right)
{
  return domain_order(left) == domain_order(right) && connections_by_group(left) == connections_by_group(right);
}

bool
same_member(const member_view& left, const member_view& right)
{
  return left.vm == right.vm && left.alive == right.alive && left.state == right.state;
}

bool
same_domains(const routing_view& left, const routing_view& right)
{
  const auto same = [](const auto& one, const auto& other) {
    const auto& [one_name, one_domain] = one;
    const auto& [other_name, other_domain] = other;
    return one_name == other_name && one_domain.in_service == other_domain.in_service &&
           std::equal(one_domain.members.begin(),
                      one_domain.members.end(),
                      other_domain.members.begin(),
                      other_domain.members.end(),
                      same_member);
  };
  return std::equal(left.domains.begin(), left.domains.end(), right.domains.begin(), right.domains.end(), same);
}

// Compares everything except the deadlines and the reported capacity, which change with nearly every heartbeat.
bool
same_decisions(const routing_view& left, const routing_view& right)
{
  return left.state == right.state && left.services == right.services && left.vms == right.vms &&
         left.spending_sets == right.spending_sets && left.spend_from == right.spend_from &&
         left.ownership == right.ownership && left.previous == right.previous && left.targets == right.targets &&
         same_domains(left, right);
}

bool
was_shortened(instant published, instant candidate)
{
  return candidate < published;
}

}

view_publisher::view_publisher(timing times)
  : times_(times)
{
}

std::shared_ptr<const routing_view>
view_publisher::publish_if_needed(routing_view candidate, instant now)
{
  retain_previous(candidate, now);
  if (!must_publish(candidate, now)) {
    return nullptr;
  }
  candidate.sequence = current_ ? current_->sequence + 1 : 1;
  check_invariant(!candidate.previous || !candidate.previous->previous,
                  "previous_view_has_no_previous",
                  "a chain of views would never be freed");
  current_ = std::make_shared<const routing_view>(std::move(candidate));
  published_ = now;
  return current_;
}

void
view_publisher::retain_previous(routing_view& candidate, instant now) const
{
  if (!current_) {
    return;
  }
  if (!same_order(candidate, *current_)) {
    auto previous = std::make_shared<routing_view>(*current_);
    previous->previous = nullptr;
    candidate.previous = std::move(previous);
    candidate.order_changed = now;
    return;
  }
  candidate.order_changed = current_->order_changed;
  if (now < current_->order_changed + times_.order_retention) {
    candidate.previous = current_->previous;
  }
}

bool
view_publisher::must_publish(const routing_view& candidate, instant now) const
{
  if (!current_ || !same_decisions(candidate, *current_)) {
    return true;
  }
  if (was_shortened(current_->spend_authority_until, candidate.spend_authority_until) ||
      was_shortened(current_->key_authority_until, candidate.key_authority_until)) {
    return true;
  }
  if (now - published_ < min_publish_interval) {
    return false;
  }
  return candidate.domains != current_->domains ||
         candidate.spend_authority_until >= current_->spend_authority_until + deadline_step ||
         candidate.key_authority_until >= current_->key_authority_until + deadline_step;
}

std::shared_ptr<const routing_view>
view_publisher::current() const
{
  return current_;
}

}
