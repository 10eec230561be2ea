#include "setting_definition.h"

#include "number_setting.h"

#include <algorithm>
#include <cctype>

namespace coltsfootlock {

namespace {

constexpr const char* address_range = "IPv4 address and port, 1 to 65535";
constexpr const char* key_range = "64 hexadecimal digits";

std::vector<setting_definition>
all_definitions()
{
  std::vector<setting_definition> result = {
    { "config",
      "path",
      "",
      "readable file",
      "File with further settings, one \"flag = value\" per line; flags and variables take precedence" },
    { "flow-routing",
      "kind",
      "recorded",
      "recorded, carried",
      "How the target of a flow is found: recorded by the daemons, or carried by the flow's packets" },
    { "vm-id", "name", "", "1 to 48 of a-z, 0-9 and '-'", "Name of this VM in the VM list; required" },
    { "domain", "name", "", "1 to 48 of a-z, 0-9 and '-'", "Failure domain of this VM; required" },
    { "packet-address", "IP:port", "", address_range, "UDP address for packets of the fabric; required" },
    { "peer-address", "IP:port", "", address_range, "UDP address for datagrams of other daemons; required" },
    { "call-address",
      "IP:port",
      "",
      address_range,
      "TCP address for calls of other daemons and operators; required for recorded flows" },
    { "metrics-address", "IP:port", "", address_range, "TCP address for GET /metrics; off if not given" },
    { "fabric", "IP:port", "", address_range, "UDP address to which packets for callers are sent; required" },
    { "platform", "IP:port", "", address_range, "TCP address of the platform's configuration service; required" },
    { "seeds",
      "IP:port,...",
      "",
      "up to 16 addresses",
      "Call addresses of peers, asked for the records until some are known" },
    { "fleet-key-file", "path", "", key_range, "File with the fleet key; required unless given in the environment" },
    { "fleet-key-next-file", "path", "", key_range, "File with a second accepted key, for rotation" },
    { "ready-address", "IP:port", "", address_range, "Carried: TCP address of GET /ready; required" },
    { "target-heartbeat",
      "ms",
      "1000",
      "above 0, 1 to 31536000000 in effect",
      "Carried: interval of the targets' reports to the platform" },
    { "flow-lifetime-s",
      "s",
      "60",
      "above 0, 0.001 to 31536000 in effect",
      "Carried: flows older than this may be forgotten" },
    { "link-rate-mbps", "Mbit/s", "1000", "above 0, 0.001 to 1000000 in effect", "Carried: rate of this VM's link" },
    { "shutdown-grace-s",
      "s",
      "6",
      "0 and above, 0 to 31536000 in effect",
      "Carried: time from SIGTERM until the process must have ended" },
    { "log-level", "level", "info", "debug, info, warning, error", "Lowest level of the lines in the log" },
  };
  for (const number_setting& setting : number_settings()) {
    result.push_back({ setting.flag,
                       setting.unit,
                       std::to_string(setting.get(timing{})),
                       std::to_string(setting.min_value) + " to " + std::to_string(setting.max_value),
                       setting.description });
  }
  return result;
}

}

std::string
setting_definition::variable() const
{
  std::string result = "COLTSFOOTLOCK_" + flag;
  std::replace(result.begin(), result.end(), '-', '_');
  std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
    return static_cast<char>(std::toupper(character));
  });
  return result;
}

const std::vector<setting_definition>&
setting_definitions()
{
  static const std::vector<setting_definition> definitions = all_definitions();
  return definitions;
}

const std::vector<setting_definition>&
secret_definitions()
{
  static const std::vector<setting_definition> definitions = {
    { "fleet-key", "hex", "", key_range, "The fleet key; instead of the file" },
    { "fleet-key-next", "hex", "", key_range, "A second accepted key, for rotation; instead of the file" },
  };
  return definitions;
}

}
