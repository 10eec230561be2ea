#pragma once

#include "record_file.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

/// Where a daemon runs. Ports are the same on all machines.
struct machine
{
  std::string name;
  std::string zone;
  std::string ip;
  std::string store_address; ///< Where this machine reaches the store.
};

struct ports
{
  std::uint16_t datagram = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t store = 0;
  std::uint16_t host = 0;
};

/// Settings under the names of the platform ("bounds.grace-s"), for the placeholders of the template.
using settings = std::map<std::string, std::string>;

/// The daemons of a deployment, each a process with the command and the template of the deploy file. Like the platform
/// it asks each for readiness twice per second, and starts one again that has ended.
class fleet
{
public:
  struct plan
  {
    std::string command;           ///< Of the deploy file.
    std::string settings_template; ///< Content of the settings template.
    std::string directory;         ///< For settings and logs.
    std::vector<machine> machines;
    ports used_ports;
    settings common;
    std::uint64_t memory_limit_bytes = 0; ///< A process that exceeds it is killed.
  };

  fleet(plan wanted, record_file& record);
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;
  ~fleet();

  /// Starts all daemons, and keeps them running.
  void start();
  /// True once all daemons are ready.
  bool all_ready() const;
  /// Writes new settings for all daemons; they take effect at SIGHUP or at the next start.
  void change_settings(const std::string& name, const std::string& value);
  void signal(std::size_t index, int number);

  /// Machines of a zone in rotation, by position; all of the zone if fewer than half of them are.
  std::vector<std::size_t> rotation(const std::string& zone) const;
  const std::vector<machine>& machines() const { return plan_.machines; }

  std::size_t starts(std::size_t index) const { return state_[index]->starts; }
  std::size_t memory_kills() const { return memory_kills_; }
  std::uint64_t peak_memory() const { return peak_memory_; }

private:
  struct daemon_state
  {
    std::atomic<pid_t> id{ 0 };
    std::atomic<bool> ready{ false };
    std::atomic<std::size_t> starts{ 0 };
    int misses = 0;
    bool ended = false;
    std::chrono::steady_clock::time_point ended_at;
  };

  void write_settings(const machine& where) const;
  void start_daemon(std::size_t index);
  bool ask_ready(const machine& where) const;
  void supervise();
  void take_end(std::size_t index);
  void check_memory(std::size_t index);

  plan plan_;
  record_file& record_;
  std::vector<std::unique_ptr<daemon_state>> state_;
  std::atomic<bool> stopping_{ false };
  std::atomic<std::size_t> memory_kills_{ 0 };
  std::atomic<std::uint64_t> peak_memory_{ 0 };
  std::thread supervisor_;
};

/// Replaces the placeholders of a template (DEPLOY.md, "Settings of a process").
std::string
fill_in(std::string text, const settings& values);

}
