#include "coltsfootlock/transport/worker_pool.h"

#include <utility>

namespace coltsfootlock {

worker_pool::worker_pool(std::size_t threads, std::size_t capacity)
  : jobs_(capacity)
{
  threads_.reserve(threads);
  for (std::size_t index = 0; index < threads; ++index) {
    threads_.emplace_back([this] { run(); });
  }
}

worker_pool::~worker_pool()
{
  stop();
}

bool
worker_pool::submit(std::function<void()> job)
{
  return jobs_.push(std::move(job));
}

void
worker_pool::stop()
{
  jobs_.close();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::uint64_t
worker_pool::dropped() const
{
  return jobs_.dropped();
}

void
worker_pool::run()
{
  while (const auto job = jobs_.wait()) {
    (*job)();
  }
}

}
