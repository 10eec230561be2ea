#pragma once

#include "fleet.h"
#include "network.h"
#include "record_file.h"
#include "store.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// A route of a manifest.
struct route
{
  std::string name;
  endpoint address;
  std::string kind;
  std::string service;
};

std::string
manifest(std::uint64_t version, const std::vector<route>& routes, const std::vector<std::string>& services);

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// What run.sh passes to a case: COMMAND TEMPLATE DIRECTORY RECORD, and TROUBLE in the environment.
struct case_arguments
{
  std::string command;
  std::string settings_template;
  std::string directory;
  std::string record;
  bool trouble = true;
};

/// A zone and its number of machines.
using zone_plan = std::vector<std::pair<std::string, std::size_t>>;

/// The zones of tazasu-hq.
inline const zone_plan tazasu_zones = { { "almaty-a", 3 }, { "almaty-b", 2 }, { "almaty-c", 2 } };

/// A small deployment with a store, and the bounds of the sheets.
struct deployment
{
  deployment(const case_arguments& arguments,
             std::uint64_t memory_limit_bytes,
             const zone_plan& zones = tazasu_zones,
             const std::string& heartbeat_ms = "770");

  record_file record;
  std::string prefix; ///< Of all addresses.
  ports used_ports;
  store& records; ///< Serves until the process ends.
  fleet daemons;
  network traffic;
};

/// Runs a case; an exception means that it could not run.
int
run_case(int argc, char** argv, const std::function<int(const case_arguments&)>& play);

/// Waits until the condition holds, `limit` at most.
bool
wait_until(const std::function<bool()>& condition, std::chrono::milliseconds limit);

}
