#include "configuration_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace coltsfootlock {

namespace {

/// The target groups that get new flows of a service.
std::set<std::string>
groups_in_use(const service& entry)
{
  std::set<std::string> groups;
  for (const group_weight& part : entry.split) {
    if (part.weight > 0) {
      groups.insert(part.target_group);
    }
  }
  if (groups.empty()) {
    groups.insert(entry.target_group);
  }
  return groups;
}

class configuration_checks
{
public:
  configuration_checks(const catalogue& value, const vm_list* vms)
    : catalogue_(value)
    , vms_(vms)
  {
    for (const cold_start_rate& rate : value.cold_starts) {
      listed_groups_.insert(rate.target_group);
    }
    if (vms == nullptr) {
      return;
    }
    for (const target_vm& vm : vms->targets) {
      groups_with_targets_.insert(vm.target_group);
      domains_with_vms_.insert(vm.domain);
    }
    for (const entry_vm& vm : vms->entries) {
      domains_with_vms_.insert(vm.domain);
    }
  }

  std::vector<configuration_finding> run()
  {
    for (const service& entry : catalogue_.services) {
      check_identity(entry);
      check_groups(entry);
      check_split(entry);
      check_limits(entry);
    }
    check_listed_groups();
    check_domains();
    return std::move(findings_);
  }

private:
  void add(finding_kind kind, finding_subject subject, std::string name, std::string problem, std::string remedy)
  {
    findings_.push_back({ kind, subject, std::move(name), std::move(problem), std::move(remedy) });
  }

  void add(finding_kind kind, const service& entry, std::string problem, std::string remedy)
  {
    add(kind, finding_subject::service, entry.name, std::move(problem), std::move(remedy));
  }

  void check_identity(const service& entry)
  {
    if (!names_.insert(entry.name).second) {
      add(finding_kind::name_taken, entry, "an earlier service has the same name", "rename one of them");
    }
    const auto [earlier, is_free] = names_by_address_.try_emplace(entry.address, entry.name);
    if (!is_free) {
      add(finding_kind::address_taken,
          entry,
          "its address " + to_string(entry.address) + " belongs to the earlier service " + earlier->second +
            ", which gets all flows",
          "give it an address of its own or remove it");
    }
  }

  void check_groups(const service& entry)
  {
    for (const std::string& group : groups_in_use(entry)) {
      const std::string subject = "its target group " + group;
      if (!listed_groups_.empty() && !listed_groups_.contains(group)) {
        add(finding_kind::group_not_listed,
            entry,
            subject + " is not among the target groups of the catalogue",
            "correct its name or add the group");
      }
      if (vms_ != nullptr && !groups_with_targets_.contains(group)) {
        add(entry.split.empty() ? finding_kind::group_without_targets : finding_kind::split_part_without_targets,
            entry,
            subject + " has no target in the VM list, so its requests will be refused",
            "add targets or choose another group");
      }
    }
  }

  void check_split(const service& entry)
  {
    const auto is_without_weight = [](const group_weight& part) { return part.weight == 0; };
    if (entry.split.empty()) {
      return;
    }
    if (std::all_of(entry.split.begin(), entry.split.end(), is_without_weight)) {
      add(finding_kind::split_without_weight,
          entry,
          "all parts of its split have weight 0, so target group " + entry.target_group + " gets all new flows",
          "give a weight above 0 to each group that should get new flows");
      return;
    }
    for (const group_weight& part : entry.split) {
      if (is_without_weight(part)) {
        add(finding_kind::split_part_without_weight,
            entry,
            "target group " + part.target_group + " has weight 0 in its split and gets no new flows",
            "give it a weight above 0 or remove it from the split");
      }
    }
  }

  /// Adds a finding if `lower` is above `upper`; both are fields of `entry`.
  void check_order(const service& entry,
                   finding_kind kind,
                   std::pair<const char*, std::uint32_t> lower,
                   std::pair<const char*, std::uint32_t> upper)
  {
    if (lower.second > upper.second) {
      add(kind,
          entry,
          std::string(lower.first) + " " + std::to_string(lower.second) + " is above " + upper.first + " " +
            std::to_string(upper.second),
          std::string("lower ") + lower.first + " or raise " + upper.first);
    }
  }

  void check_limits(const service& entry)
  {
    const target_limits& limits = entry.limits;
    const std::pair slots("limits.slots", limits.slots);
    const std::pair connections("limits.connections", limits.connections);
    const std::pair cold_slots("limits.cold_slots", limits.cold_slots);
    const std::pair cold_connections("limits.cold_connections", limits.cold_connections);
    check_order(entry, finding_kind::cold_slots_above_slots, cold_slots, slots);
    check_order(entry, finding_kind::cold_connections_above_connections, cold_connections, connections);
    check_order(entry, finding_kind::queue_below_slots, slots, { "queue_limit", entry.queue_limit });
    check_order(entry, finding_kind::connections_below_slots, slots, connections);
    if (limits.warm_up_seconds == 0 &&
        (limits.cold_slots < limits.slots || limits.cold_connections < limits.connections)) {
      add(finding_kind::cold_limits_without_warm_up,
          entry,
          "its cold limits are below the full limits but limits.warm_up_seconds is 0, so that they never apply",
          "state the warm-up time or remove the cold limits");
    }
    if (catalogue_.flow_idle_ms > 0) {
      check_order(entry,
                  finding_kind::timeout_above_flow_idle,
                  { "request_timeout_ms", entry.request_timeout_ms },
                  { "flow_idle_ms", catalogue_.flow_idle_ms });
    }
    const auto [earlier, is_first] = first_of_group_.try_emplace(entry.target_group, &entry);
    if (!is_first && earlier->second->limits != limits) {
      add(finding_kind::limits_differ_in_group,
          entry,
          "its limits differ from those of service " + earlier->second->name + " of the same target group " +
            entry.target_group,
          "state equal limits");
    }
  }

  void check_listed_groups()
  {
    std::set<std::string> used;
    for (const service& entry : catalogue_.services) {
      used.merge(groups_in_use(entry));
    }
    std::set<std::string> seen;
    for (const cold_start_rate& rate : catalogue_.cold_starts) {
      const std::string& group = rate.target_group;
      if (rate.opens_per_second < 0) {
        add(finding_kind::negative_cold_rate,
            finding_subject::target_group,
            group,
            "its cold-start rate is below 0 and has no effect",
            "state a rate above 0 or none");
      }
      if (!seen.insert(group).second) {
        add(finding_kind::group_listed_twice,
            finding_subject::target_group,
            group,
            "it is listed again; only its first cold-start rate above 0 is used",
            "list it once");
      } else if (!used.contains(group)) {
        add(finding_kind::group_unused,
            finding_subject::target_group,
            group,
            "no service sends new flows to it",
            "name it in a service or remove it");
      }
    }
  }

  void check_domains()
  {
    if (vms_ == nullptr || catalogue_.failure_domains.empty()) {
      return;
    }
    std::set<std::string> unlisted = domains_with_vms_;
    for (const failure_domain& domain : catalogue_.failure_domains) {
      unlisted.erase(domain.name);
      if (!domains_with_vms_.contains(domain.name)) {
        add(finding_kind::domain_without_vms,
            finding_subject::domain,
            domain.name,
            "no entry VM and no target is in it",
            "correct its name or remove it");
      }
    }
    for (const std::string& domain : unlisted) {
      add(finding_kind::domain_not_listed,
          finding_subject::domain,
          domain,
          "the VM list has VMs in it but the catalogue does not list it",
          "add it to failure_domains or correct the domain of the VMs");
    }
  }

  const catalogue& catalogue_;
  const vm_list* vms_;
  std::set<std::string> listed_groups_;
  std::set<std::string> groups_with_targets_;
  std::set<std::string> domains_with_vms_;
  std::set<std::string> names_;
  std::map<endpoint, std::string> names_by_address_;
  std::map<std::string, const service*> first_of_group_;
  std::vector<configuration_finding> findings_;
};

}

const char*
to_string(finding_kind kind)
{
  switch (kind) {
    case finding_kind::version_not_grown:
      return "version_not_grown";
    case finding_kind::name_taken:
      return "name_taken";
    case finding_kind::address_taken:
      return "address_taken";
    case finding_kind::group_not_listed:
      return "group_not_listed";
    case finding_kind::group_unused:
      return "group_unused";
    case finding_kind::group_listed_twice:
      return "group_listed_twice";
    case finding_kind::group_without_targets:
      return "group_without_targets";
    case finding_kind::split_part_without_targets:
      return "split_part_without_targets";
    case finding_kind::split_without_weight:
      return "split_without_weight";
    case finding_kind::split_part_without_weight:
      return "split_part_without_weight";
    case finding_kind::domain_without_vms:
      return "domain_without_vms";
    case finding_kind::domain_not_listed:
      return "domain_not_listed";
    case finding_kind::cold_slots_above_slots:
      return "cold_slots_above_slots";
    case finding_kind::cold_connections_above_connections:
      return "cold_connections_above_connections";
    case finding_kind::cold_limits_without_warm_up:
      return "cold_limits_without_warm_up";
    case finding_kind::queue_below_slots:
      return "queue_below_slots";
    case finding_kind::connections_below_slots:
      return "connections_below_slots";
    case finding_kind::timeout_above_flow_idle:
      return "timeout_above_flow_idle";
    case finding_kind::limits_differ_in_group:
      return "limits_differ_in_group";
    case finding_kind::negative_cold_rate:
      return "negative_cold_rate";
  }
  return "unknown";
}

const char*
to_string(finding_severity severity)
{
  return severity == finding_severity::error ? "error" : "warning";
}

const char*
to_string(finding_subject subject)
{
  switch (subject) {
    case finding_subject::catalogue:
      return "catalogue";
    case finding_subject::service:
      return "service";
    case finding_subject::domain:
      return "domain";
    case finding_subject::target_group:
      return "target group";
  }
  return "unknown";
}

finding_severity
severity_of(finding_kind kind)
{
  return kind == finding_kind::version_not_grown ? finding_severity::error : finding_severity::warning;
}

std::string
to_string(const configuration_finding& value)
{
  const std::string name = value.name.empty() ? "" : " " + value.name;
  return to_string(value.subject) + name + ": " + value.problem + "; " + value.remedy;
}

std::vector<configuration_finding>
check_configuration(const catalogue& value, const vm_list* vms)
{
  return configuration_checks(value, vms).run();
}

std::optional<configuration_finding>
check_version(const catalogue& in_force, const catalogue& value)
{
  if (value.version > in_force.version) {
    return std::nullopt;
  }
  return configuration_finding{ finding_kind::version_not_grown,
                                finding_subject::catalogue,
                                "",
                                "version " + std::to_string(value.version) + " is not above version " +
                                  std::to_string(in_force.version) + " in force, so daemons will ignore it",
                                "state a higher version" };
}

}
