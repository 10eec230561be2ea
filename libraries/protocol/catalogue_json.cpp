#include "coltsfootlock/protocol/catalogue_json.h"

#include "coltsfootlock/protocol/json_fields.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include <xxhash.h>

namespace coltsfootlock {

namespace {

constexpr std::uint64_t largest_version = std::numeric_limits<std::uint64_t>::max() - 1;
constexpr std::size_t max_domains = 64;
constexpr std::size_t max_services = 4096;
constexpr std::size_t max_owner_bytes = 128;
constexpr std::uint32_t max_slots = 10000;
constexpr std::uint32_t max_connections = 1000000;
constexpr std::uint32_t max_warm_up_seconds = 3600;
constexpr std::uint32_t max_request_timeout_ms = 60000;
constexpr std::uint32_t max_queue_limit = 100000;

service_class
read_class(json_fields& fields)
{
  const std::string text = fields.text("class", 16);
  for (const service_class value : { service_class::urgent, service_class::normal, service_class::bulk }) {
    if (text == to_string(value)) {
      return value;
    }
  }
  fields.fail(error_kind::unknown_name, "class", "is \"" + text + "\"; choose urgent, normal or bulk");
  return service_class::normal;
}

target_limits
read_limits(json_fields& fields)
{
  fields.allow_only({ "slots", "connections", "cold_slots", "cold_connections", "warm_up_seconds" });
  target_limits limits;
  limits.slots = fields.small_number("slots", 1, max_slots);
  limits.connections = fields.small_number("connections", 1, max_connections);
  limits.cold_slots = fields.small_number_or("cold_slots", 1, limits.slots, limits.slots);
  limits.cold_connections = fields.small_number_or("cold_connections", 1, limits.connections, limits.connections);
  limits.warm_up_seconds = fields.small_number_or("warm_up_seconds", 0, max_warm_up_seconds, 0);
  return limits;
}

service
read_service(json_fields& fields)
{
  const service defaults;
  fields.allow_only(
    { "name", "owner", "class", "address", "target_group", "limits", "request_timeout_ms", "queue_limit" });
  service result;
  result.name = fields.name("name");
  result.owner = fields.text("owner", max_owner_bytes);
  result.urgency = read_class(fields);
  result.address = fields.address("address");
  result.target_group = fields.name("target_group");
  fields.object("limits", [&](json_fields& inner) { result.limits = read_limits(inner); });
  result.request_timeout_ms =
    fields.small_number_or("request_timeout_ms", 10, max_request_timeout_ms, defaults.request_timeout_ms);
  result.queue_limit = fields.small_number_or("queue_limit", 1, max_queue_limit, defaults.queue_limit);
  return result;
}

// Finds names, addresses and group limits that contradict those of earlier services.
class service_checks
{
public:
  void add(const service& value, json_fields& fields)
  {
    if (!names_.insert(value.name).second) {
      fields.fail(error_kind::duplicate_name, "name", "\"" + value.name + "\" is used twice; rename one");
    }
    if (!addresses_.insert(value.address).second) {
      fields.fail(error_kind::duplicate_name,
                  "address",
                  to_string(value.address) + " belongs to two services; give each its own");
    }
    const auto [found, added] = limits_.try_emplace(value.target_group, value.limits);
    if (!added && found->second != value.limits) {
      fields.fail(error_kind::conflict,
                  "limits",
                  "differ from those of another service of target group \"" + value.target_group +
                    "\"; state equal limits");
    }
  }

private:
  std::set<std::string> names_;
  std::set<endpoint> addresses_;
  std::map<std::string, target_limits> limits_;
};

bool
read_leaving(json_fields& fields)
{
  const std::string state = fields.text("state", 16);
  if (state != "live" && state != "leaving") {
    fields.fail(error_kind::unknown_name, "state", "is \"" + state + "\"; choose live or leaving");
  }
  return state == "leaving";
}

entry_vm
read_entry(json_fields& fields)
{
  fields.allow_only({ "id", "domain", "state", "packet_address", "peer_address", "call_address" });
  entry_vm result;
  result.id = fields.name("id");
  result.domain = fields.name("domain");
  result.leaving = read_leaving(fields);
  result.packet_address = fields.address("packet_address");
  result.peer_address = fields.address("peer_address");
  result.call_address = fields.address("call_address");
  return result;
}

target_vm
read_target(json_fields& fields)
{
  fields.allow_only({ "id", "domain", "state", "target_group", "packet_address", "load_address", "incarnation" });
  target_vm result;
  result.id = fields.name("id");
  result.domain = fields.name("domain");
  result.leaving = read_leaving(fields);
  result.target_group = fields.name("target_group");
  result.packet_address = fields.address("packet_address");
  result.load_address = fields.address("load_address");
  result.incarnation = fields.number("incarnation", 0, std::numeric_limits<std::uint64_t>::max());
  return result;
}

// Finds ids and datagram addresses that stand twice in a VM list.
class vm_checks
{
public:
  void add(const vm_id& id, std::initializer_list<endpoint> datagram_addresses, json_fields& fields)
  {
    if (!ids_.insert(id).second) {
      fields.fail(error_kind::duplicate_name, "id", "\"" + id + "\" is used twice; give each VM its own");
    }
    for (const endpoint& address : datagram_addresses) {
      if (!addresses_.insert(address).second) {
        fields.fail(error_kind::duplicate_name,
                    "packet_address",
                    "or peer_address " + to_string(address) + " is used twice; give each VM its own");
      }
    }
  }

private:
  std::set<vm_id> ids_;
  std::set<endpoint> addresses_;
};

void
warn_of_service(const catalogue& value, const service& entry, const vm_list& vms, std::vector<std::string>& warnings)
{
  std::map<std::string, std::size_t> targets;
  for (const target_vm& vm : vms.targets) {
    if (vm.target_group == entry.target_group) {
      ++targets[vm.domain];
    }
  }
  if (targets.empty()) {
    warnings.push_back("service " + entry.name + ": no target in group " + entry.target_group +
                       "; its requests will be refused");
    return;
  }
  const auto in_service = [&](const failure_domain& domain) {
    return domain.in_service && targets.contains(domain.name);
  };
  if (std::none_of(value.failure_domains.begin(), value.failure_domains.end(), in_service)) {
    warnings.push_back("service " + entry.name + ": all its targets are in domains out of service; bring one back in");
  }
  for (const auto& group : targets) {
    const std::string& domain = group.first;
    const std::size_t count = group.second;
    const auto entries = static_cast<std::size_t>(
      std::count_if(vms.entries.begin(), vms.entries.end(), [&](const entry_vm& vm) { return vm.domain == domain; }));
    if (entries == 0) {
      warnings.push_back("service " + entry.name + ": domain " + domain + " has targets but no entry VM to use them");
    } else if (entry.limits.slots * count < entries) {
      warnings.push_back("service " + entry.name + ": domain " + domain + " has fewer slots than entry VMs; " +
                         "some of them can never send a request themselves");
    }
  }
}

}

std::optional<catalogue>
parse_catalogue(std::string_view text, error& why)
{
  const nlohmann::json json = parse_json_object(text, max_record_bytes, why);
  if (why.kind != error_kind::none) {
    return std::nullopt;
  }
  json_fields fields(json, "", why);
  fields.allow_only({ "version", "failure_domains", "services" });
  catalogue result;
  result.version = fields.number("version", 1, largest_version);
  std::set<std::string> domains;
  fields.each("failure_domains", max_domains, [&](json_fields& inner) {
    inner.allow_only({ "name", "in_service" });
    const failure_domain domain{ inner.name("name"), inner.flag("in_service") };
    if (!domains.insert(domain.name).second) {
      inner.fail(error_kind::duplicate_name, "name", "\"" + domain.name + "\" is listed twice; remove one");
    }
    result.failure_domains.push_back(domain);
  });
  if (result.failure_domains.empty()) {
    fields.fail(error_kind::out_of_range, "failure_domains", "is empty; list at least one domain");
  }
  service_checks checks;
  fields.each("services", max_services, [&](json_fields& inner) {
    result.services.push_back(read_service(inner));
    checks.add(result.services.back(), inner);
  });
  if (!fields.ok()) {
    return std::nullopt;
  }
  result.text = text;
  result.digest = XXH3_64bits(text.data(), text.size());
  return result;
}

std::optional<vm_list>
parse_vm_list(std::string_view text, error& why)
{
  constexpr std::size_t max_vms = 20000;
  const nlohmann::json json = parse_json_object(text, max_record_bytes, why);
  if (why.kind != error_kind::none) {
    return std::nullopt;
  }
  json_fields fields(json, "", why);
  fields.allow_only({ "version", "entries", "targets" });
  vm_list result;
  result.version = fields.number("version", 1, largest_version);
  vm_checks checks;
  fields.each("entries", max_vms, [&](json_fields& inner) {
    const entry_vm vm = read_entry(inner);
    checks.add(vm.id, { vm.packet_address, vm.peer_address }, inner);
    result.entries.push_back(vm);
  });
  fields.each("targets", max_vms, [&](json_fields& inner) {
    const target_vm vm = read_target(inner);
    checks.add(vm.id, { vm.packet_address }, inner);
    result.targets.push_back(vm);
  });
  if (!fields.ok()) {
    return std::nullopt;
  }
  result.text = text;
  result.digest = XXH3_64bits(text.data(), text.size());
  return result;
}

std::vector<std::string>
catalogue_warnings(const catalogue& value, const vm_list* vms)
{
  std::vector<std::string> warnings;
  const auto in_service = std::count_if(value.failure_domains.begin(),
                                        value.failure_domains.end(),
                                        [](const failure_domain& domain) { return domain.in_service; });
  if (in_service == 0 && !value.failure_domains.empty()) {
    warnings.emplace_back("every failure domain is out of service; nothing will be served");
  }
  if (value.services.empty()) {
    warnings.emplace_back("the catalogue has no services; nothing will be served");
  }
  if (vms == nullptr) {
    return warnings;
  }
  for (const service& entry : value.services) {
    warn_of_service(value, entry, *vms, warnings);
  }
  for (const failure_domain& domain : value.failure_domains) {
    const auto entries = std::count_if(
      vms->entries.begin(), vms->entries.end(), [&](const entry_vm& vm) { return vm.domain == domain.name; });
    if (entries == 1) {
      warnings.push_back("domain " + domain.name + " has a single entry VM; its flows have no replica");
    }
  }
  return warnings;
}

}
