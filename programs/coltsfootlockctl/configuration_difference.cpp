#include "configuration_difference.h"

#include <array>
#include <charconv>
#include <map>
#include <utility>

namespace coltsfootlock {

namespace {

/// Name of a service and the number of earlier services with this name.
using service_key = std::pair<std::string, std::size_t>;

/// Stands for a field of a service that service_fields lacks.
constexpr const char* other_field = "other";

struct service_field
{
  const char* name;
  std::string (*text)(const service&);
};

std::string
text_of_split(const service& entry)
{
  std::string text;
  for (const group_weight& part : entry.split) {
    text += (text.empty() ? "" : ",") + part.target_group + ":" + std::to_string(part.weight);
  }
  return text.empty() ? "none" : text;
}

std::string
text_of_flag(bool value)
{
  return value ? "true" : "false";
}

const std::array service_fields = {
  service_field{ "owner", [](const service& entry) { return entry.owner; } },
  service_field{ "class", [](const service& entry) { return std::string(to_string(entry.urgency)); } },
  service_field{ "address", [](const service& entry) { return to_string(entry.address); } },
  service_field{ "target_group", [](const service& entry) { return entry.target_group; } },
  service_field{ "limits.slots", [](const service& entry) { return std::to_string(entry.limits.slots); } },
  service_field{ "limits.connections", [](const service& entry) { return std::to_string(entry.limits.connections); } },
  service_field{ "limits.cold_slots", [](const service& entry) { return std::to_string(entry.limits.cold_slots); } },
  service_field{ "limits.cold_connections",
                 [](const service& entry) { return std::to_string(entry.limits.cold_connections); } },
  service_field{ "limits.warm_up_seconds",
                 [](const service& entry) { return std::to_string(entry.limits.warm_up_seconds); } },
  service_field{ "request_timeout_ms", [](const service& entry) { return std::to_string(entry.request_timeout_ms); } },
  service_field{ "queue_limit", [](const service& entry) { return std::to_string(entry.queue_limit); } },
  service_field{ "idempotent", [](const service& entry) { return text_of_flag(entry.idempotent); } },
  service_field{ "split", text_of_split },
};

std::map<service_key, const service*>
services_of(const catalogue& value)
{
  std::map<std::string, std::size_t> counts;
  std::map<service_key, const service*> result;
  for (const service& entry : value.services) {
    result.emplace(service_key{ entry.name, counts[entry.name]++ }, &entry);
  }
  return result;
}

std::map<std::string, bool>
domains_of(const catalogue& value)
{
  std::map<std::string, bool> result;
  for (const failure_domain& domain : value.failure_domains) {
    result.emplace(domain.name, domain.in_service);
  }
  return result;
}

/// The rate that daemons use by target group: the first above 0, or 0 if there is none.
std::map<std::string, double>
cold_rates_of(const catalogue& value)
{
  std::map<std::string, double> result;
  for (const cold_start_rate& rate : value.cold_starts) {
    double& used = result.try_emplace(rate.target_group, 0).first->second;
    if (used <= 0 && rate.opens_per_second > 0) {
      used = rate.opens_per_second;
    }
  }
  return result;
}

std::string
text_of_rate(double rate)
{
  if (rate <= 0) {
    return "none";
  }
  std::array<char, 32> text{}; // The shortest form of a double has at most 24 characters.
  const auto end = std::to_chars(text.data(), text.data() + text.size(), rate);
  return { text.data(), end.ptr };
}

std::string
text_of_domain(bool in_service)
{
  return in_service ? "in service" : "out of service";
}

/// Calls `removed`, `added` or `both` with the key and the values for each key of two maps, in the order of the keys.
template<typename Map, typename Removed, typename Added, typename Both>
void
compare_maps(const Map& before, const Map& after, Removed removed, Added added, Both both)
{
  auto old_entry = before.begin();
  auto new_entry = after.begin();
  while (old_entry != before.end() || new_entry != after.end()) {
    if (new_entry == after.end() || (old_entry != before.end() && old_entry->first < new_entry->first)) {
      removed(old_entry->first, old_entry->second);
      ++old_entry;
    } else if (old_entry == before.end() || new_entry->first < old_entry->first) {
      added(new_entry->first, new_entry->second);
      ++new_entry;
    } else {
      both(old_entry->first, old_entry->second, new_entry->second);
      ++old_entry;
      ++new_entry;
    }
  }
}

class comparison
{
public:
  std::vector<configuration_difference> run(const catalogue& in_force, const catalogue& value)
  {
    compare_services(in_force, value);
    compare_domains(in_force, value);
    compare_groups(in_force, value);
    if (in_force.flow_idle_ms != value.flow_idle_ms) {
      add(difference_kind::setting_changed,
          "",
          "flow_idle_ms",
          std::to_string(in_force.flow_idle_ms),
          std::to_string(value.flow_idle_ms));
    }
    return std::move(differences_);
  }

private:
  void add(difference_kind kind, std::string name, std::string field, std::string before, std::string after)
  {
    differences_.push_back({ kind, std::move(name), std::move(field), std::move(before), std::move(after) });
  }

  void compare_service(const service& before, const service& after)
  {
    bool is_named = before == after;
    for (const service_field& field : service_fields) {
      const std::string old_text = field.text(before);
      const std::string new_text = field.text(after);
      if (old_text != new_text) {
        add(difference_kind::service_changed, after.name, field.name, old_text, new_text);
        is_named = true;
      }
    }
    if (!is_named) {
      add(difference_kind::service_changed, after.name, other_field, "", "");
    }
  }

  void compare_services(const catalogue& in_force, const catalogue& value)
  {
    compare_maps(
      services_of(in_force),
      services_of(value),
      [&](const service_key& key, const service* entry) {
        add(difference_kind::service_removed, key.first, "address", to_string(entry->address), "");
      },
      [&](const service_key& key, const service* entry) {
        add(difference_kind::service_added, key.first, "address", "", to_string(entry->address));
      },
      [&](const service_key&, const service* before, const service* after) { compare_service(*before, *after); });
  }

  void compare_domains(const catalogue& in_force, const catalogue& value)
  {
    compare_maps(
      domains_of(in_force),
      domains_of(value),
      [&](const std::string& name, bool in_service) {
        add(difference_kind::domain_removed, name, "in_service", text_of_flag(in_service), "");
      },
      [&](const std::string& name, bool in_service) {
        add(difference_kind::domain_added, name, "in_service", "", text_of_flag(in_service));
      },
      [&](const std::string& name, bool before, bool after) {
        if (before != after) {
          add(after ? difference_kind::domain_put_in_service : difference_kind::domain_taken_out,
              name,
              "in_service",
              text_of_flag(before),
              text_of_flag(after));
        }
      });
  }

  void compare_groups(const catalogue& in_force, const catalogue& value)
  {
    constexpr const char* field = "opens_per_second";
    compare_maps(
      cold_rates_of(in_force),
      cold_rates_of(value),
      [&](const std::string& name, double rate) {
        add(difference_kind::target_group_removed, name, field, text_of_rate(rate), "");
      },
      [&](const std::string& name, double rate) {
        add(difference_kind::target_group_added, name, field, "", text_of_rate(rate));
      },
      [&](const std::string& name, double before, double after) {
        if (before != after) {
          add(difference_kind::cold_rate_changed, name, field, text_of_rate(before), text_of_rate(after));
        }
      });
  }

  std::vector<configuration_difference> differences_;
};

}

const char*
to_string(difference_kind kind)
{
  switch (kind) {
    case difference_kind::service_added:
      return "service_added";
    case difference_kind::service_removed:
      return "service_removed";
    case difference_kind::service_changed:
      return "service_changed";
    case difference_kind::domain_added:
      return "domain_added";
    case difference_kind::domain_removed:
      return "domain_removed";
    case difference_kind::domain_taken_out:
      return "domain_taken_out";
    case difference_kind::domain_put_in_service:
      return "domain_put_in_service";
    case difference_kind::target_group_added:
      return "target_group_added";
    case difference_kind::target_group_removed:
      return "target_group_removed";
    case difference_kind::cold_rate_changed:
      return "cold_rate_changed";
    case difference_kind::setting_changed:
      return "setting_changed";
  }
  return "unknown";
}

std::string
to_string(const configuration_difference& value)
{
  switch (value.kind) {
    case difference_kind::service_added:
      return "service " + value.name + ": added at " + value.after;
    case difference_kind::service_removed:
      return "service " + value.name + ": removed from " + value.before;
    case difference_kind::service_changed:
      if (value.field == other_field) {
        return "service " + value.name + ": another field changed";
      }
      return "service " + value.name + ": " + value.field + " " + value.before + " -> " + value.after;
    case difference_kind::domain_added:
      return "domain " + value.name + ": added, " + text_of_domain(value.after == text_of_flag(true));
    case difference_kind::domain_removed:
      return "domain " + value.name + ": removed, was " + text_of_domain(value.before == text_of_flag(true));
    case difference_kind::domain_taken_out:
      return "domain " + value.name + ": taken out of service";
    case difference_kind::domain_put_in_service:
      return "domain " + value.name + ": put into service";
    case difference_kind::target_group_added:
      return "target group " + value.name + ": added, cold-start rate " + value.after;
    case difference_kind::target_group_removed:
      return "target group " + value.name + ": removed, cold-start rate was " + value.before;
    case difference_kind::cold_rate_changed:
      return "target group " + value.name + ": cold-start rate " + value.before + " -> " + value.after;
    case difference_kind::setting_changed:
      return "catalogue: " + value.field + " " + value.before + " -> " + value.after;
  }
  return "unknown";
}

std::vector<configuration_difference>
compare_configurations(const catalogue& in_force, const catalogue& value)
{
  return comparison().run(in_force, value);
}

}
