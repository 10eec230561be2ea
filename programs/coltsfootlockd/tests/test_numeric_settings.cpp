#include "carried/carried_settings.h"
#include "command_line.h"
#include "number_setting.h"
#include "read_settings.h"
#include "setting_definition.h"
#include "settings_file.h"

#include <algorithm>
#include <fstream>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

const value_map addresses_and_names = { { "flow-routing", "carried" },
                                        { "vm-id", "vm-1" },
                                        { "domain", "a" },
                                        { "packet-address", "127.0.0.1:4000" },
                                        { "ready-address", "127.0.0.1:4001" },
                                        { "call-address", "127.0.0.1:4002" },
                                        { "metrics-address", "127.0.0.1:4003" },
                                        { "platform", "127.0.0.1:4004" },
                                        { "seeds", "127.0.0.2:4002,127.0.0.3:4002" } };

/// Forms in which a platform may write a positive number, and that a daemon has to accept.
const std::vector<std::string> positive_numbers = { "6.5",    "6.0",   "770.25", "0.5",
                                                    "0.0001", "1e-05", "86401",  "1000000000000000000",
                                                    "1e+300" };

const std::vector<std::string> not_numbers = { "x",    "six", "-6.5",  "+6.5", "-0",    "nan", "inf",  "infinity",
                                               "6.5s", "6,5", "6.5.1", "0x10", "1e999", "6 5", "true", "" };

value_map
carried_values(const std::string& flag, const std::string& value)
{
  value_map values = addresses_and_names;
  values[flag] = value;
  return values;
}

value_map
recorded_values(const std::string& flag, const std::string& value)
{
  value_map values = carried_values(flag, value);
  values["peer-address"] = "127.0.0.1:4005";
  values["fabric"] = "127.0.0.1:4006";
  values["fleet-key"] = std::string(64, 'a');
  return values;
}

bool
is_number(const std::string& flag)
{
  const auto& definitions = setting_definitions();
  const auto found = std::find_if(
    definitions.begin(), definitions.end(), [&flag](const auto& definition) { return definition.flag == flag; });
  return found != definitions.end() && std::set<std::string>{ "ms", "s", "Mbit/s" }.count(found->unit) != 0;
}

/// Flags of the numbers in the settings template of the platform.
std::vector<std::string>
numbers_of_template()
{
  std::vector<std::string> result;
  std::ifstream file(COLTSFOOTLOCK_SETTINGS_TEMPLATE);
  for (std::string line; std::getline(file, line);) {
    const std::string flag = line.substr(0, line.find(" ="));
    if (is_number(flag)) {
      result.push_back(flag);
    }
  }
  return result;
}

void
check_refusal(const error& why, const std::string& flag, const std::string& value)
{
  BOOST_TEST((why.kind == error_kind::out_of_range), why.message);
  BOOST_TEST(why.message.find("--" + flag + " \"" + value + '"') != std::string::npos, why.message);
  BOOST_TEST(why.message.find("give a number of ") != std::string::npos, why.message);
}

}

BOOST_AUTO_TEST_SUITE(numeric_settings)

// Guards against daemons that do not start because the platform gives a number with a fraction (shutdown-grace-s
// = 6.5), or one that is smaller or larger than the daemon can use.
BOOST_AUTO_TEST_CASE(no_positive_number_of_the_platform_keeps_a_daemon_from_starting)
{
  const std::vector<std::string> flags = numbers_of_template();
  BOOST_TEST(flags.size() == 4U);
  for (const std::string& flag : flags) {
    const std::string start_of_line = flag + " = ";
    for (const std::string& number : positive_numbers) {
      error why;
      const auto file = parse_settings_file(start_of_line + number, why);
      BOOST_REQUIRE(file.has_value());
      const auto settings = read_carried_settings(carried_values(flag, file->at(flag)), why);
      BOOST_TEST(settings.has_value(), why.message);
      BOOST_TEST((!settings || settings->steering.target_heartbeat.count() > 0), flag << " " << number);
      BOOST_TEST((!settings || settings->steering.flow_lifetime.count() > 0), flag << " " << number);
      BOOST_TEST((!settings || settings->link_kbps() > 0), flag << " " << number);
    }
  }
}

// Guards against a number of the platform that is missing, and that must not keep a daemon from starting either.
BOOST_AUTO_TEST_CASE(a_number_without_a_value_has_its_default)
{
  for (const std::string& flag : numbers_of_template()) {
    error why;
    auto values = parse_settings_file(flag + " = \n", why);
    BOOST_REQUIRE(values.has_value());
    values->insert(addresses_and_names.begin(), addresses_and_names.end());
    const auto settings = read_carried_settings(*values, why);
    BOOST_REQUIRE_MESSAGE(settings.has_value(), why.message);
    BOOST_TEST((*settings == *read_carried_settings(addresses_and_names, why)), flag);
  }
}

// Guards against a daemon that does not start because the platform fills a variable in with a value that it does not
// have. An empty value in the settings file counts as not given as well.
BOOST_AUTO_TEST_CASE(an_empty_variable_counts_as_not_given)
{
  error why;
  const auto command =
    command_line::parse({ "coltsfootlockd" },
                        { { "COLTSFOOTLOCK_SHUTDOWN_GRACE_S", "" }, { "COLTSFOOTLOCK_TARGET_HEARTBEAT", "770.5" } },
                        why);
  BOOST_REQUIRE_MESSAGE(command.has_value(), why.message);
  BOOST_TEST((command->values == value_map{ { "target-heartbeat", "770.5" } }));
}

// Guards against a fraction that is accepted and then cut off.
BOOST_AUTO_TEST_CASE(fractions_take_effect)
{
  error why;
  value_map values = addresses_and_names;
  values["target-heartbeat"] = "770.6";
  values["flow-lifetime-s"] = "0.25";
  values["shutdown-grace-s"] = "6.5";
  values["link-rate-mbps"] = "0.0015";
  const auto settings = read_carried_settings(values, why);
  BOOST_REQUIRE_MESSAGE(settings.has_value(), why.message);
  BOOST_TEST(settings->steering.target_heartbeat.count() == 771);
  BOOST_TEST(settings->steering.flow_lifetime.count() == 250);
  BOOST_TEST(settings->shutdown_grace.count() == 6500);
  BOOST_TEST(settings->log_fields() ==
             "target_heartbeat_ms=771 flow_lifetime_ms=250 shutdown_grace_ms=6500 link_kbps=2");
}

// Guards against an overflow in the conversion of a very large number, and against a time or rate that becomes 0.
BOOST_AUTO_TEST_CASE(numbers_beyond_the_usable_range_count_as_its_limits)
{
  error why;
  value_map values = addresses_and_names;
  for (const std::string& flag : numbers_of_template()) {
    values[flag] = "1e+300";
  }
  const auto largest = read_carried_settings(values, why);
  BOOST_REQUIRE_MESSAGE(largest.has_value(), why.message);
  const milliseconds year = std::chrono::days(365);
  BOOST_TEST((largest->steering.target_heartbeat == year));
  BOOST_TEST((largest->steering.flow_lifetime == year));
  BOOST_TEST((largest->shutdown_grace == year));
  BOOST_TEST((largest->follower.max_record_gap == 2 * year));
  BOOST_TEST((largest->follower.max_interruption == year));
  BOOST_TEST(largest->link_kbps() == 1000000000U);
  for (const std::string& flag : numbers_of_template()) {
    values[flag] = "0.00000001";
  }
  const auto smallest = read_carried_settings(values, why);
  BOOST_REQUIRE_MESSAGE(smallest.has_value(), why.message);
  BOOST_TEST(smallest->steering.target_heartbeat.count() == 1);
  BOOST_TEST(smallest->steering.flow_lifetime.count() == 1);
  BOOST_TEST(smallest->shutdown_grace.count() == 0);
  BOOST_TEST((smallest->follower.max_record_gap == follower_settings{}.max_record_gap));
  BOOST_TEST(smallest->follower.max_interruption.count() == 1);
  BOOST_TEST(smallest->link_kbps() == 1U);
}

// Guards against nonsense that is accepted, and against errors without setting, value and remedy.
BOOST_AUTO_TEST_CASE(text_that_is_no_number_is_refused)
{
  for (const std::string& text : not_numbers) {
    for (const std::string& flag : numbers_of_template()) {
      error why;
      BOOST_TEST(!read_carried_settings(carried_values(flag, text), why), flag << " " << text);
      check_refusal(why, flag, text);
    }
    for (const number_setting& setting : number_settings()) {
      error why;
      BOOST_TEST(!read_settings(recorded_values(setting.flag, text), why), setting.flag << " " << text);
      check_refusal(why, setting.flag, text);
    }
  }
  for (const std::string flag : { "target-heartbeat", "flow-lifetime-s", "link-rate-mbps" }) {
    error why;
    BOOST_TEST(!read_carried_settings(carried_values(flag, "0.0"), why), flag);
    check_refusal(why, flag, "0.0");
  }
  error why;
  BOOST_TEST(read_carried_settings(carried_values("shutdown-grace-s", "0"), why).has_value(), why.message);
}

// Guards against recorded flows that refuse the fractions that carried flows accept.
BOOST_AUTO_TEST_CASE(numbers_of_recorded_flows_may_have_fractions)
{
  for (const number_setting& setting : number_settings()) {
    const std::uint64_t value = setting.get(timing{}) + 1;
    for (const char* fraction : { ".0", ".25" }) {
      error why;
      const auto settings = read_settings(recorded_values(setting.flag, std::to_string(value) + fraction), why);
      BOOST_REQUIRE_MESSAGE(settings.has_value(), why.message);
      BOOST_TEST(setting.get(settings->times) == value, setting.flag);
    }
    error why;
    const std::string above = std::to_string(setting.max_value) + ".5";
    BOOST_TEST(!read_settings(recorded_values(setting.flag, above), why), setting.flag);
    check_refusal(why, setting.flag, above);
  }
}

BOOST_AUTO_TEST_SUITE_END()
