#include "metric_builder.h"

#include <utility>

namespace coltsfootlock {

void
metric_builder::begin_counter(const std::string& name, const std::string& help)
{
  families_.push_back({ "coltsfootlock_" + name, help, prometheus::MetricType::Counter, {} });
}

void
metric_builder::begin_gauge(const std::string& name, const std::string& help)
{
  families_.push_back({ "coltsfootlock_" + name, help, prometheus::MetricType::Gauge, {} });
}

void
metric_builder::add(double value, const labels& sample_labels)
{
  prometheus::MetricFamily& family = families_.back();
  prometheus::ClientMetric metric;
  for (const auto& [name, text] : sample_labels) {
    metric.label.push_back({ name, text });
  }
  if (family.type == prometheus::MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  family.metric.push_back(std::move(metric));
}

void
metric_builder::counter(const std::string& name, const std::string& help, double value)
{
  begin_counter(name, help);
  add(value);
}

void
metric_builder::gauge(const std::string& name, const std::string& help, double value)
{
  begin_gauge(name, help);
  add(value);
}

std::vector<prometheus::MetricFamily>
metric_builder::take()
{
  return std::exchange(families_, {});
}

}
