// The daemons of a small deployment as separate processes, and the platform's routers in front of them.
#pragma once

#include "event_loop.h"
#include "packet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

struct fleet_settings
{
  std::string directory; ///< Settings files and logs of the daemons.
  std::string program;   ///< The words of `run` in the deploy file.
  std::string settings_template;
  std::uint32_t network = 0; ///< Addresses 127.N.x.y.
  std::uint16_t first_port = 0;
  std::vector<std::size_t> daemons_per_zone;
  unsigned heartbeat_ms = 1200;
  bool stale_seeds = false; ///< The seeds are addresses at which no machine is any more.
};

struct machine
{
  std::string name;
  std::size_t zone = 0;
  std::uint32_t address = 0;
  pid_t process = 0;
  int misses = 2; ///< Readiness checks in a row without 200.
  std::map<std::string, std::string> changed_settings;
  bool stopping = false;              ///< After SIGTERM, until the process has ended.
  std::vector<std::int64_t> own_ends; ///< When its process ended by itself.
};

class fleet
{
public:
  fleet(event_loop& loop, fleet_settings settings);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  std::uint16_t datagram_port() const { return settings_.first_port; }
  std::uint16_t store_port() const { return static_cast<std::uint16_t>(settings_.first_port + 3); }
  std::uint32_t store_address() const { return address(250, 7); }
  std::uint32_t address(std::uint32_t part, std::uint32_t last) const;
  static std::string zone_name(std::size_t zone) { return "zone-" + std::string(1, static_cast<char>('a' + zone)); }

  void start_all();

  /// Writes the settings file with this value under the platform's name, and sends SIGHUP.
  void change_setting(machine& one, const std::string& name, const std::string& value);

  /// Sends SIGTERM, and SIGKILL after `grace_ms`. The process starts again after a short delay.
  void stop(machine& one, std::int64_t grace_ms);

  /// Passes a client's packet to a daemon of the client's zone that is in rotation.
  void forward(std::size_t zone, int socket, const packet& one);

  std::vector<machine>& machines() { return machines_; }
  std::size_t ready() const;

private:
  void start(machine& one);
  void probe(std::size_t index);
  void watch_processes();
  std::string settings_text(const machine& one) const;

  event_loop& loop_;
  fleet_settings settings_;
  std::vector<machine> machines_;
};

}
