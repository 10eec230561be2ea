#pragma once

#include "coltsfootlock/coordination/traffic_engine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace coltsfootlock::benchmark {

/// What a run of requests showed.
struct request_result
{
  std::uint64_t sent[service_class_count] = {};
  std::uint64_t answered[service_class_count] = {};
  std::vector<double> urgent_milliseconds; ///< From the caller's first packet to the whole answer.
  std::uint64_t across_domains = 0;        ///< Runs in another domain than that of the daemon that got the request.
  std::uint64_t runs = 0;
  std::uint64_t shed = 0;                     ///< Runs that a target refused because its slots were full.
  std::map<std::string, double> busy_seconds; ///< Per target.
};

/// How targets are chosen.
enum class request_routing : std::uint8_t
{
  engines, ///< The traffic engines.
  plain,   ///< A hash over all targets in service, without shares, queues and retries.
};

/// Nine daemons in four domains before 14 targets with two slots each, on a simulated clock.
class request_bench
{
public:
  request_bench(std::uint64_t seed, request_routing routing);

  /// Sends requests for `time` at `load` times the capacity of `capacity_domains` domains; `urgent_part` of them
  /// urgent, the rest bulk.
  void run(seconds time, double load, std::size_t capacity_domains, double urgent_part);

  /// Each daemon learns of the change within a second, at a time of its own.
  void set_in_service(const std::string& domain, bool in_service);

  const request_result& result() const { return result_; }

private:
  struct daemon
  {
    vm_id id;
    std::string domain;
    std::unique_ptr<traffic_engine> engine;
    std::shared_ptr<const catalogue> services;
  };
  struct target
  {
    target_vm vm;
    std::uint32_t running = 0;
  };
  struct pending
  {
    instant since{};
    service_class urgency = service_class::urgent;
    std::string domain; ///< Of the daemon that got the request.
  };
  struct event
  {
    instant at;
    std::uint64_t order;
    std::function<void()> work;
    bool operator<(const event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void after(duration delay, std::function<void()> work);
  void advance(instant until);
  void publish(daemon& to);
  void send_request(double urgent_part);
  void carry_out(daemon& from, const std::vector<traffic_action>& actions);
  void arrive(target& at,
              const std::string& from_domain,
              const request_packet& run,
              const std::function<void(const packet&)>& reply);
  void arrive_plain(const request_packet& value);
  void end(const packet& value);
  duration between(const std::string& one, const std::string& other) const;

  request_routing routing_;
  std::mt19937_64 random_;
  instant now_{ std::chrono::hours(1) };
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  catalogue services_;
  vm_list vms_;
  std::vector<daemon> daemons_;
  std::map<vm_id, target> targets_;
  std::map<std::uint64_t, pending> pending_;
  std::uint64_t last_request_ = 0;
  std::uint64_t view_sequence_ = 0;
  instant next_tick_{};
  instant next_heartbeat_{};
  request_result result_;
};

}
