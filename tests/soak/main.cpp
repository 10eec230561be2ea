#include "soak_run.h"

#include "parsed_flags.h"

#include <charconv>
#include <filesystem>
#include <iostream>

using namespace coltsfootlock;
using namespace coltsfootlock::soak;

namespace {

constexpr int wrong_usage = 2;

/// Each daemon has an address of its own in a group of 255.
constexpr std::uint64_t max_daemons_per_domain = 60;

/// The number given for a flag; `otherwise` without one, and empty with a message if it is none.
std::optional<std::uint64_t>
number_of(const parsed_flags& flags, const std::string& flag, std::uint64_t otherwise)
{
  const auto found = flags.values.find(flag);
  if (found == flags.values.end()) {
    return otherwise;
  }
  const std::string& text = found->second;
  std::uint64_t value = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || status != std::errc() || end != text.data() + text.size()) {
    std::cerr << "soak: --" << flag << " \"" << text << "\": give a whole number\n";
    return std::nullopt;
  }
  return value;
}

int
run_all(const soak_options& first, std::uint64_t seeds)
{
  std::size_t requests = 0;
  std::size_t violations = 0;
  for (std::uint64_t run = 0; run < seeds; ++run) {
    soak_options options = first;
    options.seed += run;
    options.directory += "/seed-" + std::to_string(options.seed);
    std::filesystem::create_directories(options.directory);
    const soak_result result = soak_run(options).run();
    requests += result.requests;
    violations += result.violations.size();
    std::cout << "seed " << options.seed << ": " << result.answered << " of " << result.requests << " answered\n";
    for (const std::string& violation : result.violations) {
      std::cout << "seed " << options.seed << ": violated: " << violation << "\n";
    }
  }
  std::cout << "soak: " << seeds << " seeds, " << requests << " requests, " << violations << " violations\n";
  return violations == 0 ? 0 : 1;
}

}

int
main(int argc, char** argv)
{
  error why;
  const std::vector<flag_definition> known = { { "daemon", "path" },
                                               { "keep", "path" },
                                               { "first-seed", "seed" },
                                               { "seeds", "count" },
                                               { "seconds", "s" },
                                               { "network", "1 to 250" },
                                               { "daemons", "of each domain, 1 to 60" } };
  const auto flags = parsed_flags::parse(std::vector<std::string>(argv, argv + argc), known, false, why);
  if (!flags || flags->values.count("daemon") == 0 || flags->values.count("keep") == 0) {
    std::cerr << "soak: " << (flags ? "--daemon and --keep are required" : why.message) << '\n';
    return wrong_usage;
  }
  const auto seed = number_of(*flags, "first-seed", 1);
  const auto seeds = number_of(*flags, "seeds", 1);
  const auto time = number_of(*flags, "seconds", 12);
  const auto network = number_of(*flags, "network", 40);
  const auto daemons = number_of(*flags, "daemons", 2);
  if (!seed || !seeds || !time || !network || !daemons) {
    return wrong_usage;
  }
  if (*daemons < 1 || *daemons > max_daemons_per_domain) {
    std::cerr << "soak: --daemons must be a number from 1 to " << max_daemons_per_domain << "\n";
    return wrong_usage;
  }
  soak_options options;
  options.daemon = flags->values.at("daemon");
  options.directory = flags->values.at("keep");
  options.seed = *seed;
  options.time = seconds(static_cast<seconds::rep>(*time));
  options.network = static_cast<std::uint8_t>(*network);
  options.daemons_per_domain = static_cast<int>(*daemons);
  try {
    return run_all(options, *seeds);
  } catch (const std::exception& problem) {
    std::cerr << "soak: " << problem.what() << '\n';
    return wrong_usage;
  }
}
