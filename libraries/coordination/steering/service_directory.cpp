#include "coltsfootlock/coordination/steering/service_directory.h"

#include <utility>

namespace coltsfootlock {

bool
service_directory::publish(std::shared_ptr<const catalogue> value)
{
  if (catalogue_ != nullptr && value->version <= catalogue_->version) {
    return false;
  }
  catalogue_ = std::move(value);
  by_address_.clear();
  for (const service& entry : catalogue_->services) {
    by_address_.emplace(entry.address, &entry);
  }
  return true;
}

bool
service_directory::switch_domain(const std::string& domain, bool in_service, const store_position& position)
{
  domain_state& state = domains_[domain];
  if (position < state.position) {
    return false;
  }
  state.snapshot = snapshot_;
  if (position == state.position) {
    return false;
  }
  state.position = position;
  state.retained_until.reset();
  const bool changed = state.in_service != in_service;
  state.in_service = in_service;
  return changed;
}

void
service_directory::begin_snapshot()
{
  ++snapshot_;
}

void
service_directory::end_snapshot(const store_position& position, instant outage_grace_end)
{
  for (auto& [name, state] : domains_) {
    const bool of_earlier_era = state.position.era < position.era;
    if ((state.snapshot == snapshot_ && !of_earlier_era) || state.position > position) {
      continue;
    }
    state.position = position;
    if (!state.in_service && of_earlier_era) {
      state.retained_until = outage_grace_end;
    } else if (!state.retained_until) {
      state.in_service = true;
    }
  }
}

std::vector<std::string>
service_directory::tick(std::optional<instant> confirmed_at, instant outage_grace_end)
{
  std::vector<std::string> returned;
  for (auto& [name, state] : domains_) {
    if (state.retained_until && confirmed_at && *confirmed_at >= std::max(*state.retained_until, outage_grace_end)) {
      state.retained_until.reset();
      state.in_service = true;
      returned.push_back(name);
    }
  }
  return returned;
}

const service*
service_directory::find(const endpoint& address) const
{
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : found->second;
}

const std::string&
service_directory::group_for(const service& wanted, const flow_key& flow) const
{
  std::uint64_t total = 0;
  for (const group_weight& part : wanted.split) {
    total += part.weight;
  }
  if (total == 0) {
    return wanted.target_group;
  }
  std::uint64_t point = hash_of(flow) % total;
  for (const group_weight& part : wanted.split) {
    if (point < part.weight) {
      return part.target_group;
    }
    point -= part.weight;
  }
  return wanted.target_group;
}

std::optional<double>
service_directory::cold_rate(const std::string& target_group) const
{
  for (const cold_start_rate& rate : catalogue_->cold_starts) {
    if (rate.target_group == target_group && rate.opens_per_second > 0) {
      return rate.opens_per_second;
    }
  }
  return std::nullopt;
}

bool
service_directory::in_service(const std::string& domain) const
{
  const auto found = domains_.find(domain);
  return found == domains_.end() || found->second.in_service;
}

}
