#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <utility>
#include <vector>

namespace coltsfootlock {

/// Builds the metric families of one scrape.
class metric_builder
{
public:
  using labels = std::vector<std::pair<std::string, std::string>>;

  /// Begins a family, to which the following calls of add() belong. `name` lacks the prefix coltsfootlock_.
  void begin_counter(const std::string& name, const std::string& help);
  void begin_gauge(const std::string& name, const std::string& help);

  /// Adds a sample to the current family.
  void add(double value, const labels& sample_labels = {});

  /// Adds a family with one value and no labels.
  void counter(const std::string& name, const std::string& help, double value);
  void gauge(const std::string& name, const std::string& help, double value);

  /// Moves the families out of the builder.
  std::vector<prometheus::MetricFamily> take();

private:
  std::vector<prometheus::MetricFamily> families_;
};

}
