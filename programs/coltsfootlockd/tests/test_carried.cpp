#include "carried/carried_settings.h"
#include "carried/log_rate_limiter.h"
#include "carried/time_histogram.h"
#include "command_line.h"
#include "metrics_text.h"
#include "settings_file.h"

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

value_map
valid_values()
{
  return { { "vm-id", "vm-1" },
           { "domain", "a" },
           { "packet-address", "127.0.0.1:4000" },
           { "ready-address", "127.0.0.1:4001" },
           { "call-address", "127.0.0.1:4002" },
           { "metrics-address", "127.0.0.1:4003" },
           { "platform", "127.0.0.1:4004" } };
}

}

BOOST_AUTO_TEST_SUITE(carried_mode)

BOOST_AUTO_TEST_CASE(a_settings_file_is_read_line_by_line)
{
  error why;
  const auto values =
    parse_settings_file("# comment\n\nvm-id = a-1\r\nseeds=\n  domain =  x  \nplatform=1.2.3.4:5", why);
  BOOST_REQUIRE(values.has_value());
  BOOST_TEST((*values == value_map{ { "vm-id", "a-1" }, { "domain", "x" }, { "platform", "1.2.3.4:5" } }));
  BOOST_TEST(!parse_settings_file("vm-id = a\ndomain\n", why).has_value());
  BOOST_TEST(why.message.find("line 2") != std::string::npos);
  BOOST_TEST(!parse_settings_file("vm-id = a\nvm-id = b\n", why).has_value());
  BOOST_TEST(!effective_values({ { "config", "/nonexistent" } }, why).has_value());
  BOOST_TEST(why.message.find("/nonexistent") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(valid_settings_are_taken)
{
  error why;
  value_map values = valid_values();
  values["target-heartbeat"] = "770";
  values["shutdown-grace-s"] = "9";
  values["link-rate-mbps"] = "0.5";
  values["seeds"] = "10.0.0.1:1,10.0.0.2:2";
  const auto settings = read_carried_settings(values, why);
  BOOST_REQUIRE_MESSAGE(settings.has_value(), why.message);
  BOOST_TEST(settings->steering.domain == "a");
  BOOST_TEST(settings->steering.target_heartbeat.count() == 770);
  BOOST_TEST(settings->shutdown_grace.count() == 9000);
  BOOST_TEST(settings->link_rate_mbps == 0.5);
  BOOST_TEST(settings->seeds.size() == 2U);
}

BOOST_AUTO_TEST_CASE(each_wrong_setting_is_refused_with_its_name)
{
  const std::vector<std::pair<std::string, std::string>> wrong = {
    { "vm-id", "" },
    { "domain", "A" },
    { "packet-address", "x" },
    { "ready-address", "1.2.3.4" },
    { "call-address", "::1" },
    { "metrics-address", "1:1" },
    { "target-heartbeat", "0" },
    { "target-heartbeat", "-5" },
    { "flow-lifetime-s", "0" },
    { "shutdown-grace-s", "x" },
    { "link-rate-mbps", "0" },
    { "link-rate-mbps", "nan" },
    { "link-rate-mbps", "10Mbit" },
    { "seeds", "a" },
    { "log-level", "loud" },
  };
  for (const auto& [flag, value] : wrong) {
    error why;
    value_map values = valid_values();
    values[flag] = value;
    BOOST_TEST(!read_carried_settings(values, why).has_value(), flag << " " << value);
    BOOST_TEST(why.message.find("--" + flag) != std::string::npos, why.message);
  }
  error why;
  value_map values = valid_values();
  values["metrics-address"] = values["ready-address"];
  BOOST_TEST(!read_carried_settings(values, why).has_value());
  BOOST_TEST((why.kind == error_kind::conflict));
}

// Load pattern: a burst of decisions, each of which would write a log line.
BOOST_AUTO_TEST_CASE(log_lines_are_bounded_and_the_rest_is_counted)
{
  log_rate_limiter lines(10);
  instant now = instant(seconds(1));
  int allowed = 0;
  for (int count = 0; count < 1000; ++count) {
    now += milliseconds(1);
    allowed += lines.allow(now) ? 1 : 0;
  }
  BOOST_TEST(allowed <= 20);
  BOOST_TEST(lines.take_suppressed() == static_cast<std::uint64_t>(1000 - allowed));
  BOOST_TEST(lines.take_suppressed() == 0U);
}

BOOST_AUTO_TEST_CASE(metrics_are_written_in_the_text_format)
{
  time_histogram times({ 0.1, 1 });
  times.observe(milliseconds(50));
  times.observe(milliseconds(100));
  times.observe(milliseconds(2000));
  const std::string text =
    metrics_text({ { "a_total", "Help.", prometheus::MetricType::Counter, {} },
                   { "t_seconds", "Times.", prometheus::MetricType::Histogram, { times.collect() } } });
  BOOST_TEST(text.find("# HELP a_total Help.\n# TYPE a_total counter\n") != std::string::npos);
  BOOST_TEST(text.find("t_seconds_bucket{le=\"0.1\"} 2\n") != std::string::npos);
  BOOST_TEST(text.find("t_seconds_bucket{le=\"1\"} 2\n") != std::string::npos);
  BOOST_TEST(text.find("t_seconds_bucket{le=\"+Inf\"} 3\nt_seconds_sum 2.15\nt_seconds_count 3\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
