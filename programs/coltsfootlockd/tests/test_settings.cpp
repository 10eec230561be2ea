#include "command_line.h"
#include "number_setting.h"
#include "read_settings.h"

#include <fstream>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

using value_map = std::map<std::string, std::string>;

const std::string key_text(64, 'a');

value_map
valid_values()
{
  return { { "vm-id", "vm-1" },
           { "domain", "a" },
           { "packet-address", "127.0.0.1:4000" },
           { "peer-address", "127.0.0.1:4001" },
           { "call-address", "127.0.0.1:4002" },
           { "fabric", "127.0.0.1:4003" },
           { "platform", "127.0.0.1:4004" },
           { "fleet-key", key_text } };
}

value_map
with(const std::string& flag, const std::string& value)
{
  value_map values = valid_values();
  values[flag] = value;
  return values;
}

}

BOOST_AUTO_TEST_SUITE(setting_checks)

// Guards against a default outside the range of its setting, and against a value that is stored in another field.
BOOST_AUTO_TEST_CASE(each_number_has_a_valid_default_and_fills_its_own_field)
{
  for (const number_setting& setting : number_settings()) {
    timing times;
    const std::uint64_t default_value = setting.get(times);
    BOOST_TEST(default_value >= setting.min_value, setting.flag);
    BOOST_TEST(default_value <= setting.max_value, setting.flag);
    setting.set(times, setting.max_value);
    BOOST_TEST(setting.get(times) == setting.max_value, setting.flag);
    setting.set(times, default_value);
    BOOST_TEST((times == timing{}), setting.flag);
  }
}

// Guards against an accepted setting that takes no effect.
BOOST_AUTO_TEST_CASE(valid_values_are_applied)
{
  error why;
  value_map values = with("seeds", "127.0.0.2:1,127.0.0.3:65535");
  values["silence"] = "1234";
  values["log-level"] = "warning";
  values["fleet-key-next"] = std::string(64, 'b');
  const auto result = read_settings(values, why);
  BOOST_TEST_REQUIRE(result.has_value(), why.message);
  BOOST_TEST(result->self == "vm-1");
  BOOST_TEST(result->seeds.size() == 2U);
  BOOST_TEST(result->times.silence.count() == 1234);
  BOOST_TEST((result->min_log_level == log_level::warning));
  BOOST_TEST(result->keys.size() == 2U);
  BOOST_TEST(!result->metrics_address);
}

// Guards against a daemon that starts with an invalid value, and against errors that do not name the value.
BOOST_AUTO_TEST_CASE(each_wrong_value_is_refused_with_its_name)
{
  const std::vector<std::pair<std::string, std::string>> wrong = {
    { "vm-id", "" },
    { "vm-id", std::string(49, 'x') },
    { "vm-id", "Entry_1" }, // Not a valid name in the VM list.
    { "domain", "a b" },
    { "packet-address", "localhost:1" },
    { "peer-address", "127.0.0.1" },
    { "call-address", "127.0.0.1:0" },
    { "metrics-address", "127.0.0.1:70000" },
    { "fabric", "" },
    { "platform", "::1" },
    { "seeds", "127.0.0.1:1,," },
    { "log-level", "verbose" },
    { "fleet-key-next-file", "/nonexistent" },
    { "heartbeat-interval", "250ms" },
    { "heartbeat-interval", "-1" },
    { "flows", "99999999999999999999" },
    { "drain", "" },
  };
  for (const auto& [flag, value] : wrong) {
    error why;
    BOOST_TEST(!read_settings(with(flag, value), why), flag << " " << value);
    BOOST_TEST(why.message.find("--" + flag) != std::string::npos, why.message);
    BOOST_TEST(why.message.find('"' + value + '"') != std::string::npos, why.message);
  }
  for (const auto& [flag, value] : valid_values()) {
    value_map values = valid_values();
    values.erase(flag);
    error why;
    BOOST_TEST(!read_settings(values, why), flag);
    BOOST_TEST(why.message.find(flag == "fleet-key" ? "--fleet-key-file" : "--" + flag) != std::string::npos);
  }
}

// Guards against contradictory settings, such as times that make each peer suspect between two heartbeats.
BOOST_AUTO_TEST_CASE(contradictions_are_refused_with_both_names)
{
  const std::vector<std::vector<std::string>> contradictions = {
    { "peer-address", "127.0.0.1:4000", "--packet-address" },
    { "metrics-address", "127.0.0.1:4002", "--call-address" },
    { "suspect-after", "250", "--heartbeat-interval" },
    { "spend-authority-timeout", "250", "--heartbeat-interval" },
    { "key-authority-timeout", "1999", "--spend-authority-timeout" },
    { "platform-timeout", "10000", "--platform-wait" },
    { "flow-idle", "20000", "--learned-refresh" },
  };
  for (const auto& entry : contradictions) {
    error why;
    BOOST_TEST(!read_settings(with(entry[0], entry[1]), why), entry[0]);
    BOOST_TEST(why.message.find("--" + entry[0]) != std::string::npos, why.message);
    BOOST_TEST(why.message.find(entry[2]) != std::string::npos, why.message);
  }
}

// Guards against a fleet key that appears in a log, and against two configured keys of which the wrong one is used.
BOOST_AUTO_TEST_CASE(a_key_comes_from_one_place_and_is_never_shown)
{
  error why;
  const std::string wrong = std::string(63, 'c');
  BOOST_TEST(!read_settings(with("fleet-key", wrong), why));
  BOOST_TEST(why.message.find(wrong) == std::string::npos);
  BOOST_TEST(!read_settings(with("fleet-key-file", "/nonexistent"), why));
  BOOST_TEST((why.kind == error_kind::conflict));

  const std::string path = "fleet-key-of-test";
  std::ofstream(path) << key_text << '\n';
  value_map values = with("fleet-key-file", path);
  values.erase("fleet-key");
  BOOST_TEST(read_settings(values, why).has_value(), why.message);
  std::remove(path.c_str());
}

// Guards against an environment variable that overrides a flag, and against misspelt flags.
BOOST_AUTO_TEST_CASE(a_flag_takes_precedence_over_a_variable)
{
  error why;
  const value_map environment = { { "COLTSFOOTLOCK_DRAIN", "1" },
                                  { "COLTSFOOTLOCK_SILENCE", "200" },
                                  { "COLTSFOOTLOCK_FLEET_KEY", key_text } };
  const auto command = command_line::parse({ "coltsfootlockd", "--drain", "2" }, environment, why);
  BOOST_TEST_REQUIRE(command.has_value());
  BOOST_TEST(command->values.at("drain") == "2");
  BOOST_TEST(command->values.at("silence") == "200");
  BOOST_TEST(command->values.at("fleet-key") == key_text);
  BOOST_TEST(!command_line::parse({ "coltsfootlockd", "--drian", "2" }, {}, why));
  BOOST_TEST(why.message.find("drian") != std::string::npos, why.message);
  BOOST_TEST(!command_line::parse({ "coltsfootlockd", "--fleet-key", key_text }, {}, why));
}

BOOST_AUTO_TEST_SUITE_END()
