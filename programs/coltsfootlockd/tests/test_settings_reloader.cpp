#include "carried/carried_metrics.h"
#include "carried/settings_reloader.h"
#include "command_line.h"
#include "metrics_text.h"

#include <cstdio>
#include <fstream>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

/// A running daemon that has read its settings from a file.
struct reloader_fixture
{
  const std::string path = "settings-of-reloader-test";
  const std::string valid = "flow-routing = carried\nvm-id = vm-1\ndomain = a\npacket-address = 127.0.0.1:4000\n"
                            "ready-address = 127.0.0.1:4001\nplatform = 127.0.0.1:4004\n";

  reloader_fixture() { write(valid + "shutdown-grace-s = 6\n"); }
  ~reloader_fixture() { std::remove(path.c_str()); }

  void write(const std::string& text) const { std::ofstream(path) << text; }

  settings_reloader start() const
  {
    error why;
    const value_map given = { { "config", path } };
    const auto settings = read_carried_settings(*effective_values(given, why), why);
    BOOST_REQUIRE_MESSAGE(settings.has_value(), why.message);
    return { given, *settings };
  }
};

}

BOOST_FIXTURE_TEST_SUITE(settings_reloads, reloader_fixture)

// Guards against a running daemon that refuses the fractions with which it would start.
BOOST_AUTO_TEST_CASE(a_fraction_takes_effect_in_a_running_daemon)
{
  settings_reloader reloader = start();
  BOOST_TEST((reloader.reload() == reload_outcome(settings_unchanged{})));
  write(valid + "shutdown-grace-s = 6.5\n");
  const reload_outcome outcome = reloader.reload();
  BOOST_TEST_REQUIRE(std::holds_alternative<settings_changed>(outcome));
  BOOST_TEST(std::get<settings_changed>(outcome).settings.shutdown_grace.count() == 6500);
  BOOST_TEST(!std::get<settings_changed>(outcome).needs_restart);
  BOOST_TEST(reloader.current().shutdown_grace.count() == 6500);
  BOOST_TEST(reloader.last_successful());
}

// Guards against a refusal that only a log line shows, and against a log that repeats it every two seconds.
BOOST_AUTO_TEST_CASE(a_refusal_lasts_until_settings_are_accepted)
{
  settings_reloader reloader = start();
  write(valid + "shutdown-grace-s = six\n");
  for (const bool repeated : { false, true }) {
    const reload_outcome outcome = reloader.reload();
    BOOST_TEST_REQUIRE(std::holds_alternative<settings_refused>(outcome));
    BOOST_TEST(std::get<settings_refused>(outcome).why.message.find("--shutdown-grace-s \"six\": give a number") !=
               std::string::npos);
    BOOST_TEST(std::get<settings_refused>(outcome).repeated == repeated);
  }
  BOOST_TEST(!reloader.last_successful());
  BOOST_TEST(reloader.refusals().at(error_kind::out_of_range) == 2U);
  BOOST_TEST(reloader.current().shutdown_grace.count() == 6000);
  std::remove(path.c_str());
  BOOST_TEST(!std::get<settings_refused>(reloader.reload()).repeated);
  BOOST_TEST(reloader.refusals().at(error_kind::unavailable) == 1U);
  write(valid + "shutdown-grace-s = 6\n");
  BOOST_TEST((reloader.reload() == reload_outcome(settings_unchanged{})));
  BOOST_TEST(reloader.last_successful());
}

// Guards against a change that is accepted without effect and without a word.
BOOST_AUTO_TEST_CASE(changes_that_need_a_restart_are_known)
{
  for (const char* line : { "call-address = 127.0.0.1:4002",
                            "metrics-address = 127.0.0.1:4003",
                            "link-rate-mbps = 0.5",
                            "log-level = warning" }) {
    write(valid);
    settings_reloader reloader = start();
    write(valid + line + "\n");
    const reload_outcome outcome = reloader.reload();
    BOOST_TEST_REQUIRE(std::holds_alternative<settings_changed>(outcome), line);
    BOOST_TEST(std::get<settings_changed>(outcome).needs_restart, line);
  }
}

// Guards against a refusal that an operator cannot see in the metrics.
BOOST_AUTO_TEST_CASE(a_refusal_is_seen_in_the_metrics)
{
  settings_reloader reloader = start();
  BOOST_TEST(metrics_text(settings_metric_families(reloader)).find("reload_successful 1\n") != std::string::npos);
  write(valid + "shutdown-grace-s = -6.5\n");
  reloader.reload();
  const std::string text = metrics_text(settings_metric_families(reloader));
  BOOST_TEST(text.find("coltsfootlock_settings_last_reload_successful 0\n") != std::string::npos, text);
  BOOST_TEST(
    text.find("coltsfootlock_settings_reloads_refused_total{reason=\"out_of_range\"} 1\n") != std::string::npos, text);
}

BOOST_AUTO_TEST_SUITE_END()
