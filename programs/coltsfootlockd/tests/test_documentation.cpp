#include "carried/carried_metrics.h"
#include "command_line.h"
#include "metrics_report.h"
#include "setting_definition.h"

#include <fstream>
#include <set>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace coltsfootlock;

namespace {

using row = std::vector<std::string>;

/// The cells of all table rows of a page in docs/, without backticks and header rows.
std::vector<row>
rows_of(const std::string& page)
{
  std::ifstream file(std::string(COLTSFOOTLOCK_DOCS) + "/" + page);
  std::vector<row> rows;
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("| `", 0) != 0) {
      continue;
    }
    row cells;
    std::istringstream stream(line.substr(1));
    for (std::string cell; std::getline(stream, cell, '|');) {
      std::string text;
      for (const char character : cell) {
        if (character != '`') {
          text += character;
        }
      }
      text.erase(0, text.find_first_not_of(' '));
      text.erase(text.find_last_not_of(' ') + 1);
      cells.push_back(text);
    }
    rows.push_back(cells);
  }
  return rows;
}

std::set<row>
expected_settings()
{
  std::set<row> result;
  for (const setting_definition& definition : setting_definitions()) {
    result.insert({ "--" + definition.flag,
                    definition.variable(),
                    definition.unit,
                    definition.default_value.empty() ? "-" : definition.default_value,
                    definition.range,
                    definition.description });
  }
  for (const setting_definition& definition : secret_definitions()) {
    result.insert({ "-", definition.variable(), definition.unit, "-", definition.range, definition.description });
  }
  return result;
}

metrics_input
full_input()
{
  auto view = std::make_shared<routing_view>();
  view->services = std::make_shared<const catalogue>();
  view->vms = std::make_shared<const vm_list>();
  view->domains["a"];
  view->targets["target-1"].vm.target_group = "group";
  auto control = std::make_shared<control_snapshot>();
  control->view = view;
  auto traffic = std::make_shared<traffic_snapshot>();
  target_use use;
  use.target = "target-1";
  traffic->use.push_back(use);
  metrics_input input;
  input.control = control;
  input.traffic = traffic;
  return input;
}

std::string
labels_of(const prometheus::MetricFamily& family)
{
  std::string result;
  BOOST_TEST_REQUIRE(!family.metric.empty(), family.name);
  for (const auto& label : family.metric.front().label) {
    result += (result.empty() ? "" : ", ") + label.name;
  }
  return result.empty() ? "-" : result;
}

}

BOOST_AUTO_TEST_SUITE(documentation)

// Guards against a page or --help text with missing, unknown or wrong settings.
BOOST_AUTO_TEST_CASE(the_page_of_settings_and_the_help_agree_with_the_program)
{
  const auto rows = rows_of("SETTINGS.md");
  const std::set<row> documented(rows.begin(), rows.end());
  const auto expected = expected_settings();
  BOOST_TEST(rows.size() == expected.size());
  const std::string help = help_text();
  for (const row& entry : expected) {
    BOOST_TEST(documented.count(entry) == 1U, entry[1] << " is not documented as it is");
    BOOST_TEST(help.find(entry[1]) != std::string::npos, entry[1]);
  }
}

// Guards against a page of metrics that is out of date.
BOOST_AUTO_TEST_CASE(the_page_of_metrics_agrees_with_the_program)
{
  std::set<row> expected;
  for (const auto& family : metrics_report(full_input())) {
    const bool counts = family.type == prometheus::MetricType::Counter;
    expected.insert({ family.name, counts ? "counter" : "gauge", labels_of(family), family.help });
  }
  const auto rows = rows_of("METRICS.md");
  const std::set<row> documented(rows.begin(), rows.end());
  BOOST_TEST(rows.size() == expected.size());
  for (const row& entry : expected) {
    BOOST_TEST(documented.count(entry) == 1U, entry[0] << " is not documented as it is");
  }
}

// Guards against a page of the metrics of carried flows that is out of date.
BOOST_AUTO_TEST_CASE(the_page_of_metrics_of_carried_flows_agrees_with_the_program)
{
  error why;
  steering_engine engine{ steering_settings{} };
  source_choice sources("entry-1", "a");
  const packet_path packets(std::move(*udp_socket::bind({ 0x7f000001, 0 }, why)), engine);
  observation_path observations(engine);
  load_path loads("entry-1", "a", engine, sources);
  const record_path records("a", { 0x7f000001, 1 }, {}, 1, sources, observations, loads, engine);
  target_record target; // A family whose samples have the names of groups needs one.
  target.vm.id = "target-1";
  target.vm.target_group = "group";
  engine.on_record({ 1, target_published{ target } }, {}, instant(seconds(1)));
  engine.set_target_loads({ { "target-1", 1, 1, milliseconds(1) } }, instant(seconds(1)));
  const settings_reloader settings({}, {});
  std::set<row> expected;
  for (const auto& family :
       carried_metric_families(engine, packets, records, loads, settings, 0, 0, true, instant(seconds(1)))) {
    const std::string type = family.type == prometheus::MetricType::Counter     ? "counter"
                             : family.type == prometheus::MetricType::Histogram ? "histogram"
                                                                                : "gauge";
    expected.insert({ family.name, type, labels_of(family), family.help });
  }
  const auto rows = rows_of("METRICS-CARRIED.md");
  const std::set<row> documented(rows.begin(), rows.end());
  BOOST_TEST(rows.size() == expected.size());
  for (const row& entry : expected) {
    BOOST_TEST(documented.count(entry) == 1U, entry[0] << " is not documented as it is");
  }
}

// Guards against names that Prometheus rejects or that violate its naming conventions.
BOOST_AUTO_TEST_CASE(names_of_metrics_follow_the_conventions)
{
  for (const auto& family : metrics_report(full_input())) {
    const bool counts = family.type == prometheus::MetricType::Counter;
    const bool ends_in_total = family.name.size() > 6 && family.name.substr(family.name.size() - 6) == "_total";
    BOOST_TEST(counts == ends_in_total, family.name);
    BOOST_TEST(family.name.rfind("coltsfootlock_", 0) == 0U, family.name);
    BOOST_TEST(family.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_") == std::string::npos, family.name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
