#include "coltsfootlock/protocol/relay_codec.h"

#include <memory>
#include <random>

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace coltsfootlock;

namespace {

std::vector<record_change>
one_of_each_kind()
{
  target_record target;
  target.vm.id = "t-1";
  target.vm.domain = "a";
  target.vm.leaving = true;
  target.vm.target_group = "feed";
  target.vm.packet_address = { 0x0a000001, 80 };
  target.vm.load_address = target.vm.packet_address;
  target.vm.incarnation = 77;
  target.tag = 0xfedcba9876543210U;
  target.slots = 4;
  target.sequence = 300;
  target.warm_up_left = milliseconds(250);
  auto value = std::make_shared<catalogue>();
  value->version = 9;
  value->flow_idle_ms = 15000;
  value->cold_starts = { { "feed", 2.5 } };
  service entry;
  entry.name = "feed";
  entry.address = { 0xc6120001, 443 };
  entry.target_group = "feed";
  entry.urgency = service_class::bulk;
  entry.idempotent = true;
  entry.split = { { "feed", 9 }, { "cards", 1 } };
  entry.latency_goal_ms = 300;
  service other;
  other.name = "cards";
  other.address = { 0xc6120001, 80 };
  other.target_group = "cards";
  other.urgency_known = false;
  value->services = { entry, other };
  return { { 1, target_published{ target } },
           { 2, target_removed{ "t-2" } },
           { 3, target_unreadable{ "t-3", { error_kind::syntax, "no JSON" } } },
           { 4, catalogue_published{ value } },
           { 5, catalogue_unreadable{ { error_kind::syntax, "no JSON" } } },
           { 6, domain_switched{ "a", false } } };
}

}

BOOST_AUTO_TEST_SUITE(relay_codecs)

BOOST_AUTO_TEST_CASE(answers_arrive_as_they_were_sent)
{
  const record_events events{ one_of_each_kind(),
                              12,
                              { milliseconds(30), milliseconds(40), milliseconds(50) },
                              { { { "t-9", 1780000000000, milliseconds(70) },
                                  { "t-8", 1780000000001, milliseconds(20), observation_kind::alive } },
                                5 } };
  const std::string bytes =
    encode_response(encode_changes(events.changes), events.position, events.age, events.observations);
  BOOST_TEST((decode_events(bytes) == record_response(events)));
  const record_page page{ one_of_each_kind(), 12, "", false, { milliseconds(30), milliseconds(40), milliseconds(50) },
                          events.observations };
  BOOST_TEST((decode_page(bytes) == record_response(page)));
  const member_list list{ { { "entry-1", "a", { 0x0a000001, 80 }, 10000 } }, 17 };
  error why;
  BOOST_TEST((decode_member_list(encode_member_list(list), why) == list));
}

// Daemons of the previous version do not know the lag of a domain, which is zero but for records of another domain.
BOOST_AUTO_TEST_CASE(a_lag_of_the_domain_is_stated_only_if_there_is_one)
{
  const response_age ages[] = { {}, { milliseconds(1), milliseconds(2), milliseconds(3) } };
  for (const response_age& age : ages) {
    const std::string bytes = encode_response(encode_changes({}), 12, age, {});
    BOOST_TEST(nlohmann::json::from_msgpack(bytes).contains("domain_lag_ms") == (age != response_age{}));
    BOOST_TEST((decode_events(bytes) == record_response(record_events{ {}, 12, age })));
  }
}

// A list contains records of an earlier era that the store's copy lacks. Without their own era they would pass for
// records of the present one.
BOOST_AUTO_TEST_CASE(each_change_keeps_its_era)
{
  std::vector<record_change> changes = one_of_each_kind();
  for (std::size_t index = 0; index < changes.size(); ++index) {
    changes[index].position.era = 1 + index % 2;
  }
  const record_events expected{ changes, { 2, 12 }, {} };
  BOOST_TEST((decode_events(encode_response(encode_changes(changes), { 2, 12 }, {}, {})) == record_response(expected)));
  // A change newer than the response would never be superseded.
  BOOST_TEST(
    std::holds_alternative<call_failed>(decode_page(encode_response(encode_changes(changes), { 1, 12 }, {}, {}))));
}

// During an update, daemons of the previous version state neither eras nor sequences.
BOOST_AUTO_TEST_CASE(a_daemon_that_states_no_era_counts_as_era_0)
{
  // {"revision": 12, "age_ms": 0, "settle_ms": 0, "changes": [["a", "feed"], [row of a target, map of a removal]]}
  nlohmann::json records = { { "a", "feed" },
                             { { 7, "t-1", 0, 1, 0x0a000001, 80, 77, 5, 4, false, 0 },
                               { { "revision", 9 }, { "kind", "removed" }, { "id", "t-2" } } } };
  const auto inner = nlohmann::json::to_msgpack(records);
  const auto outer = nlohmann::json::to_msgpack(
    { { "revision", 12 }, { "age_ms", 0 }, { "settle_ms", 0 }, { "changes", nlohmann::json::binary(inner) } });
  const auto response = decode_events(std::string(outer.begin(), outer.end()));
  const auto* events = std::get_if<record_events>(&response);
  BOOST_TEST_REQUIRE(events != nullptr);
  BOOST_TEST((events->position == store_position{ 0, 12 }));
  BOOST_TEST_REQUIRE(events->changes.size() == 2U);
  BOOST_TEST((events->changes[0].position == store_position{ 0, 7 }));
  BOOST_TEST(std::get<target_published>(events->changes[0].content).target.sequence == 0U);
  BOOST_TEST((events->changes[1].position == store_position{ 0, 9 }));
}

// Guards against a daemon of the previous version that takes a living target for a lost one, and against one of this
// version that refuses the responses of the previous one.
BOOST_AUTO_TEST_CASE(observations_of_living_targets_are_apart_from_those_of_lost_ones)
{
  const target_observation alive{ "t-8", 2, milliseconds(20), observation_kind::alive };
  const std::string bytes = encode_response(encode_changes({}), 12, {}, { { alive }, 5 });
  nlohmann::json content = nlohmann::json::from_msgpack(bytes);
  BOOST_TEST(content["lost"].empty());
  BOOST_TEST(content["alive"].size() == 1U);
  content.erase("alive");
  std::string previous;
  nlohmann::json::to_msgpack(content, nlohmann::detail::output_adapter<char>(previous));
  const auto response = decode_events(previous);
  const auto* events = std::get_if<record_events>(&response);
  BOOST_TEST_REQUIRE(events != nullptr);
  BOOST_TEST((events->observations == observation_list{ {}, 5 }));
}

// Load pattern: 3,000 targets, and a daemon with a link of 10 Mbit/s has 12 followers that all start at once. They have
// to receive all records within 2 s, the limit for applying a changed catalogue, which leaves 69 bytes per target.
BOOST_AUTO_TEST_CASE(a_long_list_of_targets_is_short_in_bytes)
{
  std::vector<record_change> changes;
  for (std::uint32_t number = 0; number < 3000; ++number) {
    target_record target;
    target.vm.id = "target-" + std::to_string(100000 + number);
    target.vm.domain = number % 2 == 0 ? "domain-a" : "domain-b";
    target.vm.target_group = "some-target-group";
    target.vm.packet_address = { 0x0a010000 + number, 8002 };
    target.vm.load_address = target.vm.packet_address;
    target.vm.incarnation = 1780000000000 + number;
    target.tag = 0xc7b9fbdab4 + number;
    target.slots = 2;
    changes.push_back({ 100000 + number, target_published{ target } });
  }
  const std::string bytes = encode_response(encode_changes(changes), 200000, {}, {});
  BOOST_TEST(bytes.size() <= 69 * changes.size());
  const record_events expected{ changes, 200000, {} };
  BOOST_TEST((decode_events(bytes) == record_response(expected)));
}

// Load pattern: a catalogue of 1,500 services changes, and a daemon with a link of 10 Mbit/s sends it to 32 followers,
// the most that follow one daemon. They wait 1 s for an answer, which leaves 26 bytes per service.
BOOST_AUTO_TEST_CASE(a_large_catalogue_reaches_all_followers_before_they_leave)
{
  auto value = std::make_shared<catalogue>();
  value->version = 9;
  for (std::uint32_t number = 0; number < 1500; ++number) {
    service entry;
    entry.name = "route-" + std::to_string(1000 + number);
    entry.address = { 0xc6120001, static_cast<std::uint16_t>(1000 + number) };
    entry.target_group = "some-target-group";
    entry.request_timeout_ms = 4000;
    entry.latency_goal_ms = 300;
    value->services.push_back(entry);
  }
  const std::vector<record_change> changes{ { 100000, catalogue_published{ value } } };
  const std::string bytes = encode_response(encode_changes(changes), 200000, {}, {});
  BOOST_TEST(bytes.size() <= 26 * value->services.size());
  const record_events expected{ changes, 200000, {} };
  BOOST_TEST((decode_events(bytes) == record_response(expected)));
}

// Guards against a catalogue that daemons of the previous version cannot read: their rows of services have seven
// elements and then pairs of a split, and they ignore fields of the catalogue that they do not know. They send neither
// field.
BOOST_AUTO_TEST_CASE(goals_and_unknown_urgencies_do_not_change_the_rows_of_services)
{
  auto with = std::make_shared<catalogue>();
  with->version = 9;
  service entry;
  entry.name = "feed";
  entry.target_group = "feed";
  with->services = { entry, entry };
  auto without = std::make_shared<catalogue>(*with);
  with->services[1].latency_goal_ms = 3599999;
  with->services[1].urgency_known = false;
  const auto catalogue_of = [](const std::string& changes) {
    const auto content = nlohmann::json::from_msgpack(changes);
    return content[1][0];
  };
  nlohmann::json previous = catalogue_of(encode_changes({ { 1, catalogue_published{ without } } }));
  nlohmann::json present = catalogue_of(encode_changes({ { 1, catalogue_published{ with } } }));
  BOOST_TEST(present["services"][1].size() == 7U);
  BOOST_TEST(present.erase("latency_goals_ms") == 1U);
  BOOST_TEST(present.erase("unknown_urgency") == 1U);
  BOOST_TEST((present == previous));
  const std::string bytes = encode_response(encode_changes({ { 1, catalogue_published{ without } } }), 2, {}, {});
  const record_events expected{ { { 1, catalogue_published{ without } } }, 2, {} };
  BOOST_TEST((decode_events(bytes) == record_response(expected)));
}

// Guards against a goal or position out of range that is taken over, or that ends the process.
BOOST_AUTO_TEST_CASE(bad_goals_of_another_daemon_fail_the_call)
{
  const auto answer_with = [](const std::string& field, const nlohmann::json& value) {
    nlohmann::json row = nlohmann::json::array({ "feed", 0, 443, 1, 1, 4000, true });
    nlohmann::json content = { { "revision", 4 },
                               { "kind", "catalogue" },
                               { "version", 9 },
                               { "flow_idle_ms", 0 },
                               { "services", nlohmann::json::array({ row }) },
                               { "cold_starts", nlohmann::json::array() } };
    content[field] = value;
    const auto bytes = nlohmann::json::to_msgpack(
      nlohmann::json::array({ nlohmann::json::array({ "3323068417", "feed" }), nlohmann::json::array({ content }) }));
    return decode_events(encode_response({ bytes.begin(), bytes.end() }, 12, {}, {}));
  };
  using nlohmann::json;
  const auto good = answer_with("latency_goals_ms", json::array({ 300 }));
  BOOST_TEST_REQUIRE(std::holds_alternative<record_events>(good));
  for (const json& goals : { json(3), json::array({ 3600000 }), json::array({ -1 }), json::array({ 1, 2 }) }) {
    BOOST_TEST(std::holds_alternative<call_failed>(answer_with("latency_goals_ms", goals)), goals.dump());
  }
  for (const json& positions : { json("0"), json::array({ 1 }), json::array({ 0, 0 }) }) {
    BOOST_TEST(std::holds_alternative<call_failed>(answer_with("unknown_urgency", positions)), positions.dump());
  }
}

// Guards against a crash or a silently truncated list on input from another daemon version or a broken connection.
BOOST_AUTO_TEST_CASE(damaged_answers_are_failed_calls)
{
  const std::string bytes = encode_response(encode_changes(one_of_each_kind()), 12, {}, {});
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(std::holds_alternative<call_failed>(decode_events(bytes.substr(0, size))), size);
  }
  std::minstd_rand random(1);
  for (int round = 0; round < 2000; ++round) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    decode_events(damaged); // Must not crash; a changed value cannot be distinguished from a valid one.
  }
  error why;
  BOOST_TEST(!decode_member_list("x", why).has_value());
  BOOST_TEST(!why.message.empty());
}

// A response of nested arrays, a byte each, within the limit for the size of a response. A parser that calls itself for
// each of them exhausts the stack, which ends the process.
BOOST_AUTO_TEST_CASE(deeply_nested_responses_are_refused)
{
  const std::string nested(2 * 1024 * 1024, '\x91');
  BOOST_TEST(std::holds_alternative<call_failed>(decode_page(nested)));
  BOOST_TEST(std::holds_alternative<call_failed>(decode_events(nested)));
  BOOST_TEST(std::holds_alternative<call_failed>(decode_events(encode_response(nested, 12, {}, {}))));
  error why;
  BOOST_TEST(!decode_member_list(nested, why).has_value());
  BOOST_TEST(!why.message.empty());
}

BOOST_AUTO_TEST_SUITE_END()
