#include "coltsfootlock/coordination/invariant.h"
#include "fake_fleet.h"
#include "fleet_checker.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

// Domain a with three daemons and a target, domain b with two.
struct two_domains : fake_fleet
{
  two_domains()
    : fake_fleet(7)
  {
    abort_on_invariant_failure(true);
    for (const char* id : { "a1", "a2", "a3", "b1", "b2" }) {
      add_node(id, std::string(1, id[0]));
    }
    list({ "a1", "a2", "a3", "b1", "b2" });
    publish_catalogue({});
    for (const auto& [id, node] : nodes) {
      start(id);
    }
    run(seconds(25));
    after_step = [this] { checker.check(); };
  }

  void list(const std::vector<std::string>& entries)
  {
    publish_list(entries, { { "t1", "a", false, "shop", {}, {}, 1 }, { "t2", "b", false, "shop", {}, {}, 1 } });
  }

  std::size_t sets(const std::string& id) const { return view(id)->spending_sets.size(); }
  instant cold_since(const std::string& id) const { return view(id)->targets.at("t1").cold_since; }

  fleet_checker checker{ *this };
};

}

BOOST_FIXTURE_TEST_SUITE(control_failures, two_domains)

// Guards against a daemon that is dropped while paused and acts, after it resumes, on old messages in its buffers.
BOOST_AUTO_TEST_CASE(a_paused_daemon_resumes_without_authority)
{
  pause("a3", seconds(15));
  run(seconds(4));
  list({ "a1", "a2", "b1", "b2" });
  run(seconds(10));
  BOOST_TEST(sets("a1") == 1U);
  BOOST_TEST(share("a1", "t1").slots == 6U);
  bool spent = false;
  after_step = [&] {
    checker.check();
    spent = spent || share("a3", "t1").slots > 0;
  };
  run(seconds(8));
  BOOST_TEST(!spent);
}

// Guards against a daemon that resumes with its previous set after its peers have settled on one without it.
BOOST_AUTO_TEST_CASE(a_daemon_that_missed_a_set_starts_anew)
{
  pause("a3", seconds(14));
  run(seconds(3));
  list({ "a1", "a2", "b1", "b2" });
  run(milliseconds(10900));
  BOOST_TEST(share("a1", "t1").slots == 6U);
  list({ "a2", "a3", "b1", "b2" });
  run(seconds(3));
  BOOST_TEST(!spends("a3"));
  run(seconds(5));
  BOOST_TEST(share("a2", "t1").slots == 6U);
  BOOST_TEST(share("a3", "t1").slots == 6U);
}

// Guards against a daemon with an outdated set that regains authority through a peer that has just restarted and has
// not received the newer set that the others have settled on.
BOOST_AUTO_TEST_CASE(a_restarted_peer_gives_no_authority_until_it_holds_a_set)
{
  list({ "a1", "a2", "b1", "b2" });
  run(seconds(12));
  BOOST_TEST(share("a1", "t1").slots == 6U);
  nodes.at("a1").isolated = true;
  nodes.at("a1").platform_reachable = false;
  run(seconds(3));
  list({ "a1", "a2", "a3", "b1", "b2" });
  run(seconds(12));
  BOOST_TEST(share("a3", "t1").slots == 4U);
  nodes.at("a3").isolated = true;
  stop("a2");
  nodes.at("a2").platform_reachable = false;
  start("a2");
  nodes.at("a1").isolated = false;
  bool spent = false;
  after_step = [&] {
    checker.check();
    spent = spent || share("a1", "t1").slots > 0;
  };
  run(milliseconds(1500));
  BOOST_TEST(!spent);
}

// Guards against treating the time without authority during the start as a lapse at the first changes after it.
BOOST_AUTO_TEST_CASE(the_first_changes_after_a_start_interrupt_nothing)
{
  bool spending = true;
  after_step = [&] {
    checker.check();
    for (const char* id : { "a1", "a2", "a3", "b1", "b2" }) {
      spending = spending && spends(id);
    }
  };
  publish_catalogue({ "b" });
  run(seconds(4));
  bool owned = false;
  for (int number = 0; number < 20; ++number) {
    owned = owned || owns("a1", "key-" + std::to_string(number));
  }
  BOOST_TEST(owned);
  add_node("a4", "a");
  list({ "a1", "a2", "a3", "a4", "b1", "b2" });
  run(seconds(4));
  BOOST_TEST(spending);
}

// Guards against a domain that reconnects with its previous key domains after the others have settled without it.
BOOST_AUTO_TEST_CASE(a_domain_that_missed_a_catalogue_starts_anew)
{
  for (const char* id : { "b1", "b2" }) {
    nodes.at(id).platform_reachable = false;
  }
  isolated_domains.insert("b");
  publish_catalogue({ "b" });
  run(seconds(15));
  for (const char* id : { "a1", "a2", "a3" }) {
    nodes.at(id).platform_lag = seconds(3);
  }
  publish_catalogue({});
  isolated_domains.clear();
  for (const char* id : { "b1", "b2" }) {
    nodes.at(id).platform_reachable = true;
  }
  run(seconds(4));
  BOOST_TEST(!may_accept_keys(*view("b1"), now));
  run(seconds(10));
  BOOST_TEST(may_accept_keys(*view("a1"), now));
  BOOST_TEST(may_accept_keys(*view("b1"), now));
}

// Guards against a hold-off that leaves out the time of requests because the list came before the catalogue.
BOOST_AUTO_TEST_CASE(the_start_hold_off_includes_the_longest_request)
{
  control_engine engine({ "a2", "a", 5 }, times, now);
  engine.on_vm_list(view("a1")->vms, false, now);
  engine.on_catalogue(view("a1")->services, false, now);
  BOOST_TEST((engine.view()->spend_from == now + milliseconds(4400)));
}

// Guards against authority from peers that already act under a newer list, for a daemon that cannot get that list and
// whose own heartbeats are lost.
BOOST_AUTO_TEST_CASE(peers_with_a_newer_list_give_no_authority)
{
  nodes.at("a3").blocked_destinations = { "a", "b" };
  nodes.at("a3").platform_reachable = false;
  run(seconds(3));
  list({ "a1", "a2", "b1", "b2" });
  run(seconds(10));
  BOOST_TEST(share("a1", "t1").slots == 6U);
  BOOST_TEST(!spends("a3"));
}

// Guards against reuse of a stopped daemon's share while its runs may still be in progress, and against a share that
// stays unused.
BOOST_AUTO_TEST_CASE(the_share_of_a_dead_daemon_is_used_after_the_hold_off)
{
  stop("a3");
  run(seconds(3));
  list({ "a1", "a2", "b1", "b2" });
  run(milliseconds(4300));
  BOOST_TEST(share("a1", "t1").slots == 4U);
  run(seconds(2));
  BOOST_TEST(share("a1", "t1").slots == 6U);
}

// Guards against waiting for the hold-off after a graceful shutdown.
BOOST_AUTO_TEST_CASE(a_released_share_is_used_at_once)
{
  fake_node& leaving = nodes.at("a3");
  perform(leaving, leaving.engine->begin_leaving(now));
  perform(leaving, leaving.engine->on_traffic_finished(now));
  run(milliseconds(500));
  stop("a3");
  list({ "a1", "a2", "b1", "b2" });
  // The runs of a2 under its earlier, possibly larger share are waited for, but not a3.
  run(seconds(3));
  BOOST_TEST(share("a1", "t1").slots == 6U);
}

// Guards against a restarted daemon that spends while runs of its earlier process may be in progress, that accepts keys
// while an unknown domain may own them, that treats warm targets as cold, or that causes its peers to do so.
BOOST_AUTO_TEST_CASE(a_restarted_daemon_learns_the_age_of_targets)
{
  const instant before = cold_since("a1");
  start("a2");
  run(milliseconds(4000));
  BOOST_TEST(!spends("a2"));
  run(seconds(3));
  BOOST_TEST(spends("a2"));
  BOOST_TEST(!may_accept_keys(*view("a2"), now));
  BOOST_TEST((view("a2")->spending_sets.front().key_domains == domains)); // Keys of other owners are still forwarded.
  run(seconds(1));
  BOOST_TEST(may_accept_keys(*view("a2"), now));
  BOOST_TEST((cold_since("a2") <= before + milliseconds(500)));
  BOOST_TEST((cold_since("a1") == before));
  BOOST_TEST(share("a2", "t1").slots == 4U);
}

// Guards against daemons whose reports to each other keep a target cold forever, and against peers that are not
// notified.
BOOST_AUTO_TEST_CASE(a_cold_target_warms_up_on_all_daemons)
{
  run(seconds(5));
  report("a1", "t1", { 1, target_condition::serving }, true);
  const instant cold = now;
  run(milliseconds(60));
  for (const char* id : { "a1", "a2", "a3" }) {
    BOOST_TEST(share(id, "t1").slots <= 1U);
  }
  run(seconds(30));
  for (const char* id : { "a1", "a2", "a3" }) {
    BOOST_TEST((cold_since(id) <= cold + milliseconds(500)));
  }
}

// Guards against a daemon that resumes ownership of its keys as if it had owned them while it was cut off.
BOOST_AUTO_TEST_CASE(ownership_starts_anew_after_a_loss_of_authority)
{
  fake_node& cut = nodes.at("a3");
  cut.isolated = true;
  cut.platform_reachable = false;
  run(seconds(3));
  list({ "a1", "a2", "b1", "b2" });
  run(seconds(10));
  list({ "a1", "a2", "a3", "b1", "b2" });
  run(seconds(10));
  const instant back = now;
  cut.isolated = false;
  cut.platform_reachable = true;
  run(seconds(12));
  BOOST_REQUIRE(spends("a3"));
  BOOST_TEST((view("a3")->ownership.front().since >= back));
}

// Guards against an isolated domain that still accepts keys after the domain it cannot reach is back in service.
BOOST_AUTO_TEST_CASE(a_cut_off_domain_loses_key_authority)
{
  publish_catalogue({ "b" });
  run(seconds(12));
  isolated_domains.insert("a");
  for (const char* id : { "a1", "a2", "a3" }) {
    nodes.at(id).platform_reachable = false;
  }
  run(seconds(2));
  publish_catalogue({});
  run(seconds(20));
  BOOST_TEST(spends("a1"));
  BOOST_TEST(!may_accept_keys(*view("a1"), now));
  BOOST_TEST(may_accept_keys(*view("b1"), now));
}

// Guards against key authority from domains that already act under a newer catalogue, for a domain that cannot get it
// and whose own heartbeats are lost.
BOOST_AUTO_TEST_CASE(domains_with_a_newer_catalogue_give_no_key_authority)
{
  for (const char* id : { "a1", "a2", "a3" }) {
    nodes.at(id).blocked_destinations = { "b" };
    nodes.at(id).platform_reachable = false;
  }
  publish_catalogue({ "a" });
  run(seconds(15));
  BOOST_TEST(spends("a1"));
  BOOST_TEST(may_accept_keys(*view("b1"), now));
  BOOST_TEST(!may_accept_keys(*view("a1"), now));
}

// Guards against a domain that is reported as up to date while a suspect member may resume with its key authority.
BOOST_AUTO_TEST_CASE(a_suspect_member_holds_back_the_version_of_its_domain)
{
  pause("a2", milliseconds(2500));
  publish_catalogue({ "a" });
  run(seconds(15));
  BOOST_TEST(view("b1")->spending_sets.size() == 1U);
}

// Guards against reporting a version for a member with a newer one: it may have skipped this daemon's catalogue.
BOOST_AUTO_TEST_CASE(no_version_is_reported_for_a_member_with_a_newer_one)
{
  heartbeat ahead;
  ahead.sender = "a2";
  ahead.domain = "a";
  ahead.boot_id = nodes.at("a2").boot_id + 1;
  ahead.catalogue_version = 9;
  fake_node& node = nodes.at("a1");
  node.engine->on_heartbeat(ahead, now);
  std::size_t sent = 0;
  for (const control_action& action : node.engine->begin_leaving(now)) {
    if (const auto* message = std::get_if<send_heartbeat>(&action)) {
      BOOST_TEST(message->message.domain_catalogue_version == 0U);
      ++sent;
    }
  }
  BOOST_TEST(sent == 2U);
}

// Guards against an interruption of service when one of two daemons remains and confirms its list with the platform.
BOOST_AUTO_TEST_CASE(a_lone_daemon_keeps_its_authority_through_the_platform)
{
  stop("b2");
  run(seconds(5));
  bool always = true;
  after_step = [&] { always = always && spends("b1"); };
  run(seconds(20));
  BOOST_TEST(always);
  platform_down = true;
  run(seconds(5));
  BOOST_TEST(!spends("b1"));
}

// Guards against a restart that fails while the platform is down, and against a start that waits for it forever.
BOOST_AUTO_TEST_CASE(records_come_from_peers_while_the_platform_is_down)
{
  platform_down = true;
  start("a2");
  run(milliseconds(2500));
  BOOST_TEST(nodes.at("a2").engine->serving());
  run(seconds(5));
  BOOST_TEST(spends("a2"));
}

// Guards against readers with a hanging watch that delay a change for the whole fleet.
BOOST_AUTO_TEST_CASE(a_hanging_watch_delays_no_catalogue)
{
  for (const char* id : { "a1", "a2", "a3" }) {
    nodes.at(id).platform_hangs = true;
  }
  run(seconds(2));
  publish_catalogue({ "b" });
  run(seconds(3));
  for (const auto& [id, node] : nodes) {
    BOOST_TEST(view(id)->services->version == 2U);
  }
}

// Guards against accepting an older catalogue, or different contents under the same version.
BOOST_AUTO_TEST_CASE(a_catalogue_that_goes_back_or_differs_is_refused)
{
  fake_node& node = nodes.at("a1");
  const auto held = view("a1")->services;
  auto differing = std::make_shared<catalogue>(*held);
  differing->digest += 1;
  perform(node, node.engine->on_catalogue(differing, true, now));
  BOOST_TEST((node.engine->last_reason()->kind == error_kind::conflict));
  publish_catalogue({ "b" });
  run(seconds(3));
  perform(node, node.engine->on_catalogue(held, false, now));
  BOOST_TEST((node.engine->last_reason()->kind == error_kind::stale));
  BOOST_TEST(view("a1")->services->version == 2U);
}

// Guards against a change of the domain order without the previous view, and against views that are never freed.
BOOST_AUTO_TEST_CASE(the_previous_order_is_kept_for_a_while)
{
  publish_catalogue({ "b" });
  run(seconds(3));
  publish_catalogue({});
  run(seconds(3));
  BOOST_REQUIRE(view("a1")->previous);
  BOOST_TEST(!view("a1")->previous->domains.at("b").in_service);
  BOOST_TEST(!view("a1")->previous->previous);
  run(seconds(11));
  BOOST_TEST(!view("a1")->previous);
}

// Guards against heartbeats beyond their byte budget, more views than the traffic thread needs, and a published view
// whose authority lapses although the daemon still has it.
BOOST_AUTO_TEST_CASE(heartbeats_and_views_keep_to_their_rates)
{
  for (auto& [id, node] : nodes) {
    node.views = 0;
    node.heartbeat_bytes = 0;
  }
  after_step = [&] {
    for (const auto& [id, node] : nodes) {
      BOOST_REQUIRE((view(id)->spend_authority_until - now > milliseconds(500)));
    }
  };
  run(seconds(20));
  for (const auto& [id, node] : nodes) {
    BOOST_TEST_MESSAGE(id << ": " << node.heartbeat_bytes / 20 << " B/s of heartbeats, " << node.views / 20
                          << " views/s");
    BOOST_TEST(node.heartbeat_bytes <= 20U * 3500U + 2000U);
    BOOST_TEST(node.views <= 20U * 20U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
