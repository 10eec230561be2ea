#include "metrics_text.h"

#include <charconv>
#include <cmath>

namespace coltsfootlock {

namespace {

std::string
number_text(double value)
{
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  char buffer[32];
  const auto [end, status] = std::to_chars(buffer, buffer + sizeof(buffer), value);
  return status == std::errc() ? std::string(buffer, end) : "NaN";
}

std::string
label_text(const std::vector<prometheus::ClientMetric::Label>& labels, const std::string& bucket_bound)
{
  std::string text;
  const auto add = [&text](const std::string& name, const std::string& value) {
    text += (text.empty() ? "{" : ",") + name + "=\"" + value + "\"";
  };
  for (const auto& label : labels) {
    add(label.name, label.value);
  }
  if (!bucket_bound.empty()) {
    add("le", bucket_bound);
  }
  return text.empty() ? text : text + "}";
}

void
append_histogram(const std::string& name, const prometheus::ClientMetric& metric, std::string& text)
{
  for (const auto& bucket : metric.histogram.bucket) {
    text += name + "_bucket" + label_text(metric.label, number_text(bucket.upper_bound)) + " " +
            std::to_string(bucket.cumulative_count) + "\n";
  }
  text += name + "_sum" + label_text(metric.label, "") + " " + number_text(metric.histogram.sample_sum) + "\n";
  text += name + "_count" + label_text(metric.label, "") + " " + std::to_string(metric.histogram.sample_count) + "\n";
}

const char*
type_text(prometheus::MetricType type)
{
  switch (type) {
    case prometheus::MetricType::Counter:
      return "counter";
    case prometheus::MetricType::Gauge:
      return "gauge";
    case prometheus::MetricType::Histogram:
      return "histogram";
    default:
      return "untyped";
  }
}

}

std::string
metrics_text(const std::vector<prometheus::MetricFamily>& families)
{
  std::string text;
  for (const prometheus::MetricFamily& family : families) {
    text +=
      "# HELP " + family.name + " " + family.help + "\n# TYPE " + family.name + " " + type_text(family.type) + "\n";
    for (const prometheus::ClientMetric& metric : family.metric) {
      if (family.type == prometheus::MetricType::Histogram) {
        append_histogram(family.name, metric, text);
        continue;
      }
      const double value = family.type == prometheus::MetricType::Counter ? metric.counter.value : metric.gauge.value;
      text += family.name + label_text(metric.label, "") + " " + number_text(value) + "\n";
    }
  }
  return text;
}

}
