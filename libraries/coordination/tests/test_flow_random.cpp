#include "coltsfootlock/coordination/invariant.h"
#include "flow_fleet.h"

#include <algorithm>

#include "seed.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;
using namespace coltsfootlock::testing;

namespace {

// Time between disturbances. A second failure within one refresh interval may hit home and deputy, which loses flows by
// design.
constexpr seconds disturbance_interval{ 28 };
constexpr milliseconds step{ 100 };
constexpr seconds open_timeout{ 8 }; // shorter than the retention of earlier orders

/// Callers that open flows, send on them and close them while the fleet is disturbed.
class random_run
{
public:
  explicit random_run(std::uint64_t seed)
    : seed_(seed)
    , fleet_({ seed, 3, 3, 2, seed % 2 == 0 ? 1000U : 12U, 0.02, 0.05, milliseconds(12), milliseconds(1500), {} })
  {
  }

  void run(std::size_t disturbances)
  {
    for (std::size_t round = 0; round < disturbances; ++round) {
      for (std::uint64_t times = 1 + fleet_.random(3); times > 0; --times) {
        disturb();
      }
      for (milliseconds passed{ 0 }; passed < disturbance_interval; passed += step) {
        drive_callers();
        fleet_.run_for(step);
        check();
      }
      repair();
    }
    fleet_.run_for(seconds(5));
  }

  std::uint64_t opened() const { return opened_; }
  std::uint64_t answered() const { return answered_; }

private:
  void disturb()
  {
    const std::uint64_t kind = fleet_.random(10);
    const auto& victim = fleet_.daemons[fleet_.random(fleet_.daemons.size())];
    const bool disturbed = !disturbed_.insert(victim.domain).second;
    if (kind <= 3 && disturbed) {
      return;
    }
    if (kind <= 1) {
      killed_.push_back(victim.id);
      fleet_.kill(victim.id);
      disturbances_ += ", kill " + victim.id;
    } else if (kind == 2) {
      fleet_.kill(victim.id);
      fleet_.restart(victim.id);
      disturbances_ += ", restart " + victim.id;
    } else if (kind == 3) {
      fleet_.by_id(victim.id).authority = false;
      disturbances_ += ", no authority at " + victim.id;
    } else if (kind == 4) {
      fleet_.set_partitioned("a", "b", true);
      partition_end_ = fleet_.now + seconds(4);
      disturbances_ += ", separate a and b";
    } else if (kind <= 7) {
      change_targets(kind <= 6);
      disturbances_ += ", targets change";
    } else if (kind == 8) {
      take_domain_out("c");
      disturbances_ += ", c out";
    } else {
      fleet_.set_in_service("c", true);
      disturbances_ += ", c back";
    }
  }

  void repair()
  {
    for (const vm_id& id : killed_) {
      fleet_.restart(id);
    }
    for (auto& daemon : fleet_.daemons) {
      daemon.authority = true;
    }
    if (!killed_.empty()) {
      fleet_.run_for(seconds(5));
    }
    killed_.clear();
    disturbed_.clear();
    disturbances_.clear();
  }

  void change_targets(bool leave)
  {
    vm_list next = *fleet_.vms;
    for (target_vm& vm : next.targets) {
      vm.leaving = leave && vm.id.ends_with("-0") && fleet_.random(2) == 0;
    }
    fleet_.publish(std::move(next));
  }

  void take_domain_out(const std::string& domain)
  {
    // The guarantees for a flow hold only while its home domain is in service.
    for (const flow_key& key : active_flows_) {
      fleet_.callers[key].exempt = fleet_.callers[key].exempt || fleet_.home_domain(key) == domain;
    }
    fleet_.set_in_service(domain, false);
    for (const auto& [id, target] : fleet_.targets) {
      if (target.vm.domain == domain) {
        for (const flow_key& key : target.seen) {
          fleet_.callers[key].exempt = true;
        }
      }
    }
  }

  void drive_callers()
  {
    if (partition_end_ != instant{} && fleet_.now >= partition_end_) {
      fleet_.set_partitioned("a", "b", false);
      partition_end_ = {};
    }
    if (active_flows_.size() < 80) {
      const flow_key key = fleet_.flow(++number_, fleet_.random(3) == 0);
      active_flows_.push_back(key);
      fleet_.callers[key].next = fleet_.now;
      started_[key] = fleet_.now;
    }
    std::erase_if(active_flows_, [this](const flow_key& key) { return !drive_flow(key); });
  }

  // Returns false when the flow has ended.
  bool drive_flow(const flow_key& key)
  {
    auto& state = fleet_.callers[key];
    if (fleet_.now < state.next) {
      return true;
    }
    state.next = fleet_.now + milliseconds(300 + fleet_.random(1500));
    if (state.exempt) {
      return false;
    }
    const bool times_out = !state.opened && fleet_.now - started_[key] > open_timeout;
    if (!state.resets.empty() || times_out) {
      return false;
    }
    // Copies of an open continue for a while after the confirmation.
    if (!state.opened || state.answers < 2) {
      fleet_.send_anywhere(open_packet{ key });
      if (fleet_.random(2) == 0) {
        fleet_.send_anywhere(open_packet{ key });
      }
    }
    if (!state.opened) {
      return true;
    }
    if (fleet_.random(30) == 0) {
      state.closed = true;
      ++opened_;
      answered_ += state.answers;
      fleet_.send_anywhere(close_packet{ key });
      return false;
    }
    fleet_.send_anywhere(data_packet{ key, true, {}, "payload" });
    return true;
  }

  void check()
  {
    for (const flow_key& key : active_flows_) {
      const auto& state = fleet_.callers[key];
      if (state.exempt || reached_domain_out_of_service(key)) {
        continue;
      }
      const std::string where = "seed " + std::to_string(seed_) + ", " + disturbances_ + ", flow of " +
                                to_string(key.caller) + ", opened " + std::to_string(state.opened ? 1 : 0);
      check_invariant(state.resets.empty(), "test-no-reset", where);
      check_invariant(fleet_.targets_that_saw(key) <= 1, "test-one-target", where);
    }
  }

  // A daemon that has not received the change yet may open a flow in a domain that is out of service.
  bool reached_domain_out_of_service(const flow_key& key)
  {
    for (const auto& entry : fleet_.targets) {
      const auto& target = entry.second;
      const bool lost =
        std::any_of(fleet_.services->failure_domains.begin(),
                    fleet_.services->failure_domains.end(),
                    [&](const auto& domain) { return domain.name == target.vm.domain && !domain.in_service; });
      if (lost && target.seen.contains(key)) {
        fleet_.callers[key].exempt = true;
        return true;
      }
    }
    return false;
  }

  std::uint64_t seed_;
  flow_fleet fleet_;
  std::vector<flow_key> active_flows_;
  std::map<flow_key, instant> started_;
  std::uint16_t number_ = 0;
  std::vector<vm_id> killed_;
  std::set<std::string> disturbed_; ///< Domains in which a daemon failed in this round.
  instant partition_end_{};
  std::string disturbances_;
  std::uint64_t opened_ = 0;
  std::uint64_t answered_ = 0;
};

}

BOOST_AUTO_TEST_SUITE(flow_random)

// Guards against a flow that is reset or sent to a second target although its target and its home domain are working.
// Covers racing copies of packets, loss, reordering, failures and restarts of daemons, a partition between domains,
// leaving targets, and domains that are taken out and put back. COLTSFOOTLOCK_SEED repeats a run, COLTSFOOTLOCK_RUNS
// sets the number of seeds.
BOOST_AUTO_TEST_CASE(a_flow_keeps_its_only_target)
{
  abort_on_invariant_failure(true);
  const std::uint64_t first = test_seed();
  const std::uint64_t runs = number_from_environment("COLTSFOOTLOCK_RUNS", 2);
  std::uint64_t opened = 0;
  std::uint64_t answered = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    BOOST_TEST_MESSAGE("seed " << seed);
    random_run run(seed);
    run.run(12);
    opened += run.opened();
    answered += run.answered();
  }
  BOOST_TEST_MESSAGE(opened << " flows closed, " << answered << " answers");
  BOOST_TEST(opened > runs * 50);
  BOOST_TEST(answered > opened * 5);
}

// Guards against faults that random runs found: home and deputy sent a referred flow to different domains while they
// used different orders (seed 2078587467), and a referral was removed while copies of the open still arrived (seed
// 50015).
BOOST_AUTO_TEST_CASE(seeds_that_failed_before_pass)
{
  abort_on_invariant_failure(true);
  for (const std::uint64_t seed : { 50015U, 2078587467U }) {
    random_run run(seed);
    run.run(12);
    BOOST_TEST(run.opened() > 50U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
