#include "daemon_fixture.h"

#include "coltsfootlock/transport/rpc_client.h"

#include <future>

using namespace coltsfootlock;

BOOST_FIXTURE_TEST_SUITE(daemons, daemon_fixture)

// Guards against packets that are not forwarded between callers and targets, in either direction.
BOOST_AUTO_TEST_CASE(packets_reach_the_target_and_the_caller)
{
  const settings values = settings_of(1);
  const auto running = start(values);
  BOOST_TEST(wait_for_page(values.call_address, "/ready", 200, "ready"));
  const auto opened = send_until_received<open_packet>(values.packet_address, open_packet{ flow }, target);
  BOOST_TEST_REQUIRE(opened.has_value());
  BOOST_TEST((opened->flow == flow));
  const endpoint path = last_sender;

  // A packet from an address that is not a listed target must not reach the caller. It is sent first, so that it would
  // also arrive first.
  auto unlisted_sender = *udp_socket::bind(loopback(), why);
  data_packet forged{ flow, false, { 1, target_condition::serving }, "forged" };
  unlisted_sender.send(path, encode_packet(forged));
  data_packet event{ flow, false, { 1, target_condition::serving }, "event" };
  target.send(path, encode_packet(event));
  const auto received = next<data_packet>(fabric, max_wait_ms);
  BOOST_TEST_REQUIRE(received.has_value());
  BOOST_TEST(received->payload == "event");
  BOOST_TEST(wait_for_page(
    *values.metrics_address, "/metrics", 200, "coltsfootlock_datagrams_refused_total{reason=\"unknown_target\"} 1"));
  BOOST_TEST(load_polls > 0);
}

// Guards against a daemon that cannot start while the platform is down although its peers have the records.
BOOST_AUTO_TEST_CASE(a_seed_replaces_the_platform_at_the_start)
{
  const auto running = start(settings_of(1));
  BOOST_TEST(wait_for_page(first.call_address, "/ready", 200, "ready"));
  platform_down = true;
  settings values = settings_of(2);
  values.seeds = { first.call_address };
  const auto second_daemon = start(values);
  BOOST_TEST(wait_for_page(values.call_address, "/ready", 200, "ready"));
  // Each daemon receives the heartbeats of the other.
  for (const settings& each : { first, second }) {
    BOOST_TEST(wait_for_page(*each.metrics_address, "/metrics", 200, "coltsfootlock_members_alive{domain=\"a\"} 2"));
  }
}

// Guards against forged heartbeats and packets of peers, and against records that anyone on the network can read.
BOOST_AUTO_TEST_CASE(unauthenticated_datagrams_and_calls_are_refused_and_counted)
{
  const settings values = settings_of(1);
  const auto running = start(values);
  BOOST_TEST(wait_for_page(values.call_address, "/ready", 200, "ready"));
  fabric.send(values.peer_address, "not sealed");
  BOOST_TEST(wait_for_page(
    *values.metrics_address, "/metrics", 200, "coltsfootlock_datagrams_refused_total{reason=\"unauthenticated\"} 1"));
  for (const char* method : { "catalogue", "vm_list", "flows" }) {
    BOOST_TEST(!call_rpc(http, values.call_address, method, R"({"arguments":"{}"})", test_limits, why), method);
  }
  BOOST_TEST(wait_for_page(*values.metrics_address, "/metrics", 200, "coltsfootlock_calls_refused_total 3"));
  const auto status = call_rpc(http, values.call_address, "status", "{}", test_limits, why);
  BOOST_TEST_REQUIRE(status.has_value(), why.message);
  BOOST_TEST(status->find("\"catalogue_version\":1") != std::string::npos, *status);
  const std::string params = R"({"caller":"10.0.0.1:4000","service":"10.20.0.1:7001"})";
  BOOST_TEST(call_rpc(http, values.call_address, "explain", params, test_limits, why).has_value(), why.message);
  BOOST_TEST(!call_rpc(http, values.call_address, "explain", "{}", test_limits, why));
}

// Guards against a shutdown that aborts a running request, and against one that never completes.
BOOST_AUTO_TEST_CASE(the_shutdown_waits_for_the_running_request)
{
  const settings values = settings_of(1);
  auto running = start(values);
  platform_down = false;
  BOOST_TEST(wait_for_page(values.call_address, "/ready", 200, "ready"));
  request_packet request;
  request.flow = flow;
  request.request_id = 5;
  request.deadline_ms = 60000;
  const auto run = send_until_received<request_packet>(values.packet_address, request, target);
  BOOST_TEST_REQUIRE(run.has_value());
  const endpoint path = last_sender;

  auto left = std::async(std::launch::async, [&] { running->leave(); });
  BOOST_TEST(wait_for_page(values.call_address, "/ready", 503, "not ready"));
  BOOST_TEST((left.wait_for(milliseconds(0)) == std::future_status::timeout));
  answer_packet answer;
  answer.flow = flow;
  answer.request_id = 5;
  answer.run_id = run->run_id;
  answer.report = { 1, target_condition::serving };
  answer.payload = "whole";
  target.send(path, encode_packet(answer));
  const auto received = next<answer_packet>(fabric, max_wait_ms);
  BOOST_TEST_REQUIRE(received.has_value());
  BOOST_TEST(received->payload == "whole");
  left.get();
}

// Guards against an address conflict that is not detected, and against errors that do not name the setting.
BOOST_AUTO_TEST_CASE(an_address_in_use_prevents_the_start)
{
  const auto running = start(settings_of(1));
  settings values = settings_of(2);
  values.packet_address = first.packet_address;
  BOOST_TEST(!daemon::start(values, why));
  BOOST_TEST(why.message.find("--packet-address") != std::string::npos, why.message);
  values = settings_of(2);
  values.call_address = first.call_address;
  BOOST_TEST(!daemon::start(values, why));
  BOOST_TEST(why.message.find("--call-address") != std::string::npos, why.message);
  values = settings_of(2);
  values.metrics_address = first.metrics_address;
  BOOST_TEST(!daemon::start(values, why));
  BOOST_TEST(why.message.find("--metrics-address") != std::string::npos, why.message);
}

BOOST_AUTO_TEST_SUITE_END()
