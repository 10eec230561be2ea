#include "soak_run.h"

#include <sodium.h>
#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>

using namespace coltsfootlock;
using namespace coltsfootlock::soak;

int
main(int argc, char** argv)
{
  try {
    TCLAP::CmdLine line("Runs daemons under random faults and checks what callers and targets see.");
    TCLAP::ValueArg<std::string> daemon("", "daemon", "Path of coltsfootlockd", true, "", "path", line);
    TCLAP::ValueArg<std::string> directory("", "keep", "Directory for settings and logs", true, "", "path", line);
    TCLAP::ValueArg<std::uint64_t> first("", "first-seed", "Seed of the first run", false, 1, "seed", line);
    TCLAP::ValueArg<int> seeds("", "seeds", "Number of runs", false, 1, "count", line);
    TCLAP::ValueArg<int> time("", "seconds", "Time of a run", false, 12, "s", line);
    TCLAP::ValueArg<int> network("", "network", "Uses 127.NETWORK.x.y", false, 40, "1 to 250", line);
    line.parse(argc, argv);
    std::size_t requests = 0;
    std::size_t violations = 0;
    for (int run = 0; run < seeds.getValue(); ++run) {
      soak_options options;
      options.daemon = daemon.getValue();
      options.seed = first.getValue() + static_cast<std::uint64_t>(run);
      options.directory = directory.getValue() + "/seed-" + std::to_string(options.seed);
      options.time = seconds(time.getValue());
      options.network = static_cast<std::uint8_t>(network.getValue());
      std::filesystem::create_directories(options.directory);
      const soak_result result = soak_run(options).run();
      requests += result.requests;
      violations += result.violations.size();
      std::cout << "seed " << options.seed << ": " << result.answered << " of " << result.requests << " answered\n";
      for (const std::string& violation : result.violations) {
        std::cout << "seed " << options.seed << ": violated: " << violation << "\n";
      }
    }
    std::cout << "soak: " << seeds.getValue() << " seeds, " << requests << " requests, " << violations
              << " violations\n";
    return violations == 0 ? 0 : 1;
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << "soak: " << problem.argId() << ": " << problem.error() << "\n";
  } catch (const std::exception& problem) {
    std::cerr << "soak: " << problem.what() << "\n";
  }
  return 2;
}
