#pragma once

#include "coltsfootlock/coordination/control_engine.h"
#include "coltsfootlock/coordination/share.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace coltsfootlock {

/// One simulated daemon.
struct fake_node
{
  entry_vm vm;
  std::optional<control_engine> engine;
  std::uint64_t boot_id = 0;
  instant paused_until{};
  duration platform_lag{};
  bool platform_reachable = true;
  bool platform_hangs = false;                ///< Calls are accepted but never answered.
  bool isolated = false;                      ///< Disconnected from every peer.
  std::set<std::string> blocked_destinations; ///< Domains that do not receive its messages, but it receives theirs.
  std::deque<std::function<void()>> inbox;
  std::deque<instant> platform_calls;
  instant last_fault{}; ///< Last time at which a fault affected it.
  std::uint64_t catalogue_version = 0;
  std::size_t views = 0;
  std::size_t heartbeat_bytes = 0;
};

/// Several control engines, connected by a simulated network and platform with faults. Time is simulated.
class fake_fleet
{
public:
  explicit fake_fleet(std::uint64_t seed);

  void add_node(const std::string& id, const std::string& domain);
  void start(const std::string& id, bool with_seeds = true);
  void stop(const std::string& id);
  void pause(const std::string& id, duration span);
  void publish_list(const std::vector<std::string>& entries, const std::vector<target_vm>& targets);
  void publish_catalogue(const std::vector<std::string>& out_of_service);
  void report(const std::string& id, const vm_id& target, target_report value, bool shed);
  void run(duration span);

  /// Carries out what an engine returned.
  void perform(fake_node& node, const std::vector<control_action>& actions);

  std::shared_ptr<const routing_view> view(const std::string& id) const;
  target_share share(const std::string& id, const vm_id& target) const;
  bool spends(const std::string& id) const;
  bool owns(const std::string& id, const std::string& key) const;
  bool running(const fake_node& node) const;

  instant now;
  timing times;
  std::mt19937_64 random;
  std::map<std::string, fake_node> nodes;
  std::vector<std::string> domains;
  std::set<std::string> isolated_domains;
  double loss = 0;
  double duplication = 0;
  milliseconds max_delay{ 8 };
  bool platform_down = false;
  std::optional<instant> platform_frozen; ///< Records published after this time are not visible.
  target_limits limits{ 12, 60, 3, 9, 10 };
  std::function<void()> after_step;

private:
  template<class Record>
  struct published_version
  {
    instant at{};
    std::shared_ptr<const Record> value;
  };

  template<class Record>
  std::shared_ptr<const Record> visible(const std::vector<published_version<Record>>& history,
                                        const fake_node& node) const;

  void step();
  void at(instant time, std::function<void()> event);
  void deliver(const std::string& id,
               std::uint64_t boot_id,
               std::function<std::vector<control_action>(fake_node&)> input);
  bool connected(const fake_node& left, const fake_node& right) const;
  duration delay();
  void transmit(const fake_node& from, const send_heartbeat& action);
  void fetch(const fake_node& node, const fetch_from_peer& action);
  void read(fake_node& node, const read_platform& action);
  void complete_read(const std::string& id, std::uint64_t boot_id, const read_platform& action, instant deadline);

  std::vector<published_version<catalogue>> catalogues_;
  std::vector<published_version<vm_list>> lists_;
  std::multimap<instant, std::function<void()>> events_;
  std::uint64_t steps_ = 0;
};

}
