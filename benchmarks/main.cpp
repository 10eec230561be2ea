#include "figures.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

// Usage: measure [SEED [engine|flows|requests|records|control]]. Exits with 1 if a goal is missed.
int
main(int count, char** arguments)
{
  using namespace coltsfootlock::benchmark;
  const std::uint64_t seed = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
  const std::string_view part = count > 2 ? arguments[2] : "";
  const auto wanted = [&](std::string_view name) { return part.empty() || part == name; };
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  int missed = 0;
  missed += wanted("engine") ? measure_engine() : 0;
  missed += wanted("flows") ? measure_flows(seed) : 0;
  missed += wanted("requests") ? measure_requests(seed) : 0;
  if (wanted("records")) {
    measure_records();
  }
  missed += wanted("control") ? measure_control(seed) : 0;
  std::printf("measure: %d goals missed\n", missed);
  return missed == 0 ? 0 : 1;
}
