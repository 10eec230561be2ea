#pragma once

#include "coltsfootlock/transport/bounded_queue.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <thread>
#include <vector>

namespace coltsfootlock {

/// Threads for blocking calls.
class worker_pool
{
public:
  worker_pool(std::size_t threads, std::size_t capacity);

  /// Waits for the running jobs and discards the waiting ones.
  ~worker_pool();
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  /// False if too many jobs wait; the job is then not run.
  bool submit(std::function<void()> job);

  /// Waits for the running jobs and refuses further ones.
  void stop();

  std::uint64_t dropped() const;

private:
  void run();

  bounded_queue<std::function<void()>> jobs_;
  std::vector<std::thread> threads_;
};

}
