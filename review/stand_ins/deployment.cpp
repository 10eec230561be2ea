#include "deployment.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <iterator>
#include <thread>

#include <unistd.h>

namespace review {

namespace {

std::vector<std::string>
store_addresses(const std::string& prefix, const zone_plan& zones)
{
  std::vector<std::string> result;
  for (const auto& [zone, count] : zones) {
    for (std::size_t number = 0; number < count; ++number) {
      result.push_back(prefix + "9." + std::to_string(result.size() + 1));
    }
  }
  return result;
}

/// The store is never destroyed, since its threads run until run_case() ends the process.
store&
start_store(const std::vector<std::string>& addresses, std::uint16_t port)
{
  static const auto kept = std::make_unique<store>(addresses, port);
  return *kept;
}

ports
free_ports()
{
  ports result;
  result.datagram = free_port(8160);
  result.ready = free_port(result.datagram + 1);
  result.control = free_port(result.ready + 1);
  result.store = free_port(result.control + 1);
  result.host = free_port(result.store + 1);
  return result;
}

fleet::plan
plan_of(const case_arguments& arguments,
        const std::string& prefix,
        const ports& used,
        std::uint64_t memory_limit,
        const zone_plan& zones,
        const std::string& heartbeat_ms)
{
  fleet::plan result;
  result.command = arguments.command;
  std::ifstream file(arguments.settings_template);
  result.settings_template = std::string(std::istreambuf_iterator<char>(file), {});
  result.directory = arguments.directory;
  result.used_ports = used;
  result.memory_limit_bytes = memory_limit;
  const std::vector<std::string> stores = store_addresses(prefix, zones);
  std::string seeds;
  for (std::size_t zone = 0; zone < zones.size(); ++zone) {
    for (std::size_t number = 1; number <= zones[zone].second; ++number) {
      const std::string ip = prefix + std::to_string(zone + 1) + "." + std::to_string(number);
      const std::string store_address = stores[result.machines.size()] + ":" + std::to_string(used.store);
      result.machines.push_back(
        { "front-" + zones[zone].first + "-" + std::to_string(number), zones[zone].first, ip, store_address });
      if (number == 1 && zone < 3) {
        seeds += (seeds.empty() ? "" : ",") + ip + ":" + std::to_string(used.control);
      }
    }
  }
  result.common = { { "seeds", seeds },
                    { "heartbeat-ms", heartbeat_ms },
                    { "bounds.flow-lifetime-s", "60" },
                    { "bounds.grace-s", "6" },
                    { "limits.link-mbps", "1000.0" } };
  return result;
}

}

std::string
manifest(std::uint64_t version, const std::vector<route>& routes, const std::vector<std::string>& services)
{
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (std::size_t index = 0; index < routes.size(); ++index) {
    const route& one = routes[index];
    const std::string address = to_string(one.address);
    text += (index == 0 ? "" : ",") + std::string(R"({"name":")") + one.name + R"(","host":")" +
            address.substr(0, address.find(':')) + R"(","prefix":"/)" + std::to_string(one.address.port) +
            R"(/","kind":")" + one.kind + R"(","timeout-ms":4000,"latency-goal-ms":300,"priority":2,"service":")" +
            one.service + R"(","max-attempts":2})";
  }
  text += R"(],"services":[)";
  for (std::size_t index = 0; index < services.size(); ++index) {
    text += (index == 0 ? "" : ",") + std::string(R"({"name":")") + services[index] +
            R"(","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,"warmup-s":2.0,)" +
            R"("warmup-per-s":0.0})";
  }
  return text + R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)" +
         R"("idle-timeout-ms":15000}})";
}

deployment::deployment(const case_arguments& arguments,
                       std::uint64_t memory_limit_bytes,
                       const zone_plan& zones,
                       const std::string& heartbeat_ms)
  : record(arguments.record)
  , prefix(loopback_prefix())
  , used_ports(free_ports())
  , records(start_store(store_addresses(prefix, zones), used_ports.store))
  , daemons(plan_of(arguments, prefix, used_ports, memory_limit_bytes, zones, heartbeat_ms), record)
  , traffic(daemons, used_ports, records, record)
{
}

int
run_case(int argc, char** argv, const std::function<int(const case_arguments&)>& play)
{
  if (argc != 5) {
    std::cerr << "usage: case COMMAND TEMPLATE DIRECTORY RECORD\n";
    return could_not_run;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  int result = could_not_run;
  try {
    result = play({ argv[1], argv[2], argv[3], argv[4], has_trouble });
  } catch (const std::exception& problem) {
    std::cerr << "the case could not run: " << problem.what() << "\n";
  }
  std::cout.flush();
  std::_Exit(result); // The threads of the store serve until the end.
}

bool
wait_until(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
  const auto end = steady::now() + limit;
  while (!condition()) {
    if (steady::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

}
