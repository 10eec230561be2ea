#include "figure.h"
#include "figures.h"
#include "request_bench.h"

#include <algorithm>
#include <string>
#include <vector>

namespace coltsfootlock::benchmark {

namespace {

constexpr auto urgent = static_cast<std::size_t>(service_class::urgent);
constexpr auto bulk = static_cast<std::size_t>(service_class::bulk);

double
imbalance(const request_result& result)
{
  double sum = 0;
  double most = 0;
  for (const auto& [id, busy] : result.busy_seconds) {
    sum += busy;
    most = std::max(most, busy);
  }
  return most * static_cast<double>(result.busy_seconds.size()) / sum;
}

double
percentage(std::uint64_t part, std::uint64_t whole)
{
  return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

double
quantile(std::vector<double> values, double part)
{
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

int
measure_half_load(std::uint64_t seed)
{
  request_bench engines(seed, request_routing::engines);
  request_bench plain(seed, request_routing::plain);
  for (request_bench* bench : { &engines, &plain }) {
    bench->run(seconds(120), 0.5, 4, 0.5);
    bench->run(seconds(3), 0.0001, 4, 0.5);
  }
  int missed = 0;
  missed += print({ "imbalance_of_busy_slots_at_half_load",
                    imbalance(engines.result()),
                    "max/mean",
                    imbalance(plain.result()),
                    "plain hashing",
                    1.10,
                    {} })
              ? 0
              : 1;
  print({ "requests_across_domains_all_in_service",
          percentage(engines.result().across_domains, engines.result().runs),
          "%",
          percentage(plain.result().across_domains, plain.result().runs),
          "plain hashing",
          {},
          {} });
  missed += print({ "runs_beyond_the_slots_of_a_target_at_half_load",
                    static_cast<double>(engines.result().shed),
                    "runs",
                    static_cast<double>(plain.result().shed),
                    "plain hashing without shares",
                    0.0,
                    {} })
              ? 0
              : 1;
  return missed;
}

// One of four domains leaves and returns while the load is 80% of what the other three can do.
int
measure_departure(std::uint64_t seed)
{
  request_bench engines(seed, request_routing::engines);
  request_bench plain(seed, request_routing::plain);
  for (request_bench* bench : { &engines, &plain }) {
    bench->run(seconds(10), 0.8, 3, 0.5);
    bench->set_in_service("a", false);
    bench->run(seconds(30), 0.8, 3, 0.5);
    bench->set_in_service("a", true);
    bench->run(seconds(20), 0.8, 3, 0.5);
    bench->run(seconds(3), 0.0001, 4, 0.5);
  }
  const request_result& result = engines.result();
  const request_result& baseline = plain.result();
  const int missed = print({ "urgent_requests_answered_while_a_domain_leaves_and_returns",
                             percentage(result.answered[urgent], result.sent[urgent]),
                             "%",
                             percentage(baseline.answered[urgent], baseline.sent[urgent]),
                             "plain hashing",
                             {},
                             99.9 })
                       ? 0
                       : 1;
  print({ "bulk_requests_answered_while_a_domain_leaves_and_returns",
          percentage(result.answered[bulk], result.sent[bulk]),
          "%",
          percentage(baseline.answered[bulk], baseline.sent[bulk]),
          "plain hashing",
          {},
          {} });
  print({ "urgent_answer_time_p99", quantile(result.urgent_milliseconds, 0.99), "ms", {}, {}, {}, {} });
  print({ "urgent_answer_time_max", quantile(result.urgent_milliseconds, 1.0), "ms", {}, {}, {}, {} });
  print({ "requests_across_domains_with_one_leaving_and_returning",
          percentage(result.across_domains, result.runs),
          "%",
          percentage(baseline.across_domains, baseline.runs),
          "plain hashing",
          {},
          {} });
  return missed;
}

}

int
measure_requests(std::uint64_t seed)
{
  return measure_half_load(seed) + measure_departure(seed);
}

}
