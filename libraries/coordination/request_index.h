#pragma once

#include "request_group.h"
#include "request_peer.h"
#include "retry_budget.h"

#include "coltsfootlock/coordination/routing_view.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfootlock {

/// Resolves the names in a routing view to indices and pointers, so that handling a request needs no lookup by name.
/// Groups, targets with runs in flight and retry budgets are kept when the view changes.
class request_index
{
public:
  struct service_entry
  {
    service definition;
    std::uint32_t group = 0;
    retry_budget* budget = nullptr;
  };

  void rebuild(const routing_view& view);

  service_entry* find_service(const endpoint& address);
  std::deque<request_group>& groups() { return groups_; }
  const std::deque<request_group>& groups() const { return groups_; }
  request_group& group(std::uint32_t id) { return groups_[id]; }
  const request_group& group(std::uint32_t id) const { return groups_[id]; }
  std::map<vm_id, target_admission>& targets() { return targets_; }
  const std::vector<request_peer>& peers() const { return peers_; }
  std::optional<std::size_t> find_peer(const vm_id& id) const;
  std::size_t own_domain() const { return own_domain_; }
  bool own_domain_in_service() const { return own_in_service_; }

private:
  struct endpoint_hash
  {
    std::size_t operator()(const endpoint& value) const { return (std::size_t{ value.address } << 16U) | value.port; }
  };

  std::uint32_t intern_group(const std::string& name);
  void rebuild_services(const routing_view& view);
  void rebuild_listed_targets(const routing_view& view);
  void rebuild_peers(const routing_view& view);
  void rebuild_targets(const routing_view& view);
  void rebuild_domains(const routing_view& view);
  void rebuild_choice(request_group& group,
                      const std::map<std::string, std::uint32_t>& listed,
                      const std::vector<bool>& usable,
                      std::vector<domain_choice::domain_load> loads);

  std::unordered_map<endpoint, service_entry, endpoint_hash> services_;
  std::map<std::string, retry_budget> budgets_;
  std::map<std::string, std::uint32_t> group_ids_;
  std::map<std::uint32_t, target_limits> limits_;
  std::shared_ptr<const catalogue> catalogue_; ///< The catalogue of the last rebuild of services and listed targets.
  std::shared_ptr<const vm_list> list_;
  std::vector<std::pair<vm_id, std::uint32_t>> own_targets_; ///< Listed in the own domain, with their group.
  std::vector<std::map<std::string, std::uint32_t>>
    listed_by_domain_; ///< Number of targets that are not leaving, by group.
  std::deque<request_group> groups_;
  std::map<vm_id, target_admission> targets_;
  std::shared_ptr<const std::vector<entry_set>> sets_;
  std::vector<request_peer> peers_;
  std::map<vm_id, std::size_t> peer_ids_;
  std::map<std::string, std::size_t> domain_positions_;
  std::size_t own_domain_ = 0;
  bool own_in_service_ = false;
};

}
