#include "authority.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

std::optional<instant>
later(std::optional<instant> left, std::optional<instant> right)
{
  if (!left || (right && *right > *left)) {
    return right;
  }
  return left;
}

std::optional<instant>
after(std::optional<instant> start, duration span)
{
  return start ? std::optional<instant>(*start + span) : std::nullopt;
}

}

authority::authority(vm_id self, std::string domain, timing times)
  : self_(std::move(self))
  , domain_(std::move(domain))
  , times_(times)
{
}

void
authority::confirm_list(instant now)
{
  list_confirmed_ = now;
}

void
authority::confirm_catalogue(instant now)
{
  catalogue_confirmed_ = now;
}

std::optional<instant>
authority::majority_until(const std::vector<vm_id>& listed, const membership& peers, instant now) const
{
  if (std::find(listed.begin(), listed.end(), self_) == listed.end()) {
    return std::nullopt;
  }
  const std::size_t others_needed = listed.size() / 2;
  if (others_needed == 0) {
    return now + times_.spend_authority_timeout;
  }
  std::vector<instant> confirmations;
  for (const vm_id& member : listed) {
    const peer_record* record = member == self_ ? nullptr : peers.find(member);
    if (record != nullptr && record->list_evidence) {
      confirmations.push_back(*record->list_evidence);
    }
  }
  if (confirmations.size() < others_needed) {
    return std::nullopt;
  }
  std::sort(confirmations.rbegin(), confirmations.rend());
  return confirmations[others_needed - 1] + times_.spend_authority_timeout;
}

std::optional<instant>
authority::domains_until(const std::vector<std::string>& other_domains, const membership& peers, instant now) const
{
  instant oldest = now;
  for (const std::string& domain : other_domains) {
    std::optional<instant> latest;
    for (const auto& [id, record] : peers.peers()) {
      if (record.last_heartbeat.domain == domain) {
        latest = later(latest, record.catalogue_evidence);
      }
    }
    if (!latest) {
      return std::nullopt;
    }
    oldest = std::min(oldest, *latest);
  }
  return oldest + times_.key_authority_timeout;
}

std::optional<instant>
authority::spend_until(const std::vector<vm_id>& listed, const membership& peers, instant now) const
{
  return later(majority_until(listed, peers, now), after(list_confirmed_, times_.spend_authority_timeout));
}

std::optional<instant>
authority::keys_until(const std::vector<std::string>& other_domains, const membership& peers, instant now) const
{
  return later(domains_until(other_domains, peers, now), after(catalogue_confirmed_, times_.key_authority_timeout));
}

}
