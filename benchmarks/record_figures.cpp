#include "figure.h"
#include "figures.h"

#include "coltsfootlock/protocol/catalogue_json.h"

#include <chrono>
#include <string>

#include <nlohmann/json.hpp>

namespace coltsfootlock::benchmark {

namespace {

constexpr int repetitions = 20;

// An address of its own for each number, also at the planned size.
std::string
address_of(std::uint32_t number)
{
  return to_string(endpoint{ 0x0a000000 + number / 50000, static_cast<std::uint16_t>(1000 + number % 50000) });
}

std::string
catalogue_text(std::uint32_t services)
{
  nlohmann::json json{ { "version", 1 } };
  for (int domain = 0; domain < 28; ++domain) {
    json["failure_domains"].push_back({ { "name", "region-" + std::to_string(domain) }, { "in_service", true } });
  }
  json["services"] = nlohmann::json::array();
  for (std::uint32_t number = 0; number < services; ++number) {
    json["services"].push_back({ { "name", "service-" + std::to_string(number) },
                                 { "owner", "Owner of the service" },
                                 { "class", "normal" },
                                 { "address", address_of(number) },
                                 { "target_group", "group-" + std::to_string(number) },
                                 { "limits",
                                   { { "slots", 4 },
                                     { "connections", 2000 },
                                     { "cold_slots", 1 },
                                     { "cold_connections", 100 },
                                     { "warm_up_seconds", 30 } } },
                                 { "request_timeout_ms", 2000 },
                                 { "queue_limit", 256 } });
  }
  return json.dump();
}

std::string
vm_list_text(std::uint32_t targets)
{
  nlohmann::json json{ { "version", 1 }, { "entries", nlohmann::json::array() } };
  for (std::uint32_t number = 0; number < targets; ++number) {
    json["targets"].push_back({ { "id", "region-1-domain-1-target-" + std::to_string(number) },
                                { "domain", "region-" + std::to_string(number % 28) },
                                { "state", "live" },
                                { "target_group", "group-" + std::to_string(number % 2000) },
                                { "packet_address", address_of(number) },
                                { "load_address", address_of(number + 100000) },
                                { "incarnation", 1234567 } });
  }
  return json.dump();
}

template<typename parse_type>
double
milliseconds_per_parse(const std::string& text, const parse_type& parse)
{
  error why;
  const auto start = std::chrono::steady_clock::now();
  for (int count = 0; count < repetitions; ++count) {
    if (!parse(text, why)) {
      return -1;
    }
  }
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count() / repetitions;
}

}

void
measure_records()
{
  // 2,000 services of the whole fleet; 1,857 targets, a seventh of 13,000: one region.
  for (const std::uint32_t services : { 20U, 2000U }) {
    const std::string text = catalogue_text(services);
    const std::string suffix = "_with_" + std::to_string(services) + "_services";
    print({ "catalogue_bytes" + suffix, static_cast<double>(text.size()), "bytes", {}, {}, {}, {} });
    print({ "catalogue_parse_time" + suffix, milliseconds_per_parse(text, parse_catalogue), "ms", {}, {}, {}, {} });
  }
  for (const std::uint32_t targets : { 18U, 1857U }) {
    const std::string text = vm_list_text(targets);
    const std::string suffix = "_with_" + std::to_string(targets) + "_targets";
    print({ "vm_list_bytes" + suffix, static_cast<double>(text.size()), "bytes", {}, {}, {}, {} });
    print({ "vm_list_parse_time" + suffix, milliseconds_per_parse(text, parse_vm_list), "ms", {}, {}, {}, {} });
  }
}

}
