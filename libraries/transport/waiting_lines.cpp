#include "waiting_lines.h"

#include <algorithm>
#include <atomic>
#include <cerrno>

#include <poll.h>
#include <unistd.h>

namespace coltsfootlock {

namespace {

/// Bytes written at once: a pipe that poll() calls writable takes this much without blocking (POSIX PIPE_BUF).
constexpr std::size_t bytes_per_write = 4096;

std::atomic<std::uint64_t> dropped_lines{ 0 };

}

void
waiting_lines::add(std::string_view line)
{
  if (bytes_.size() + line.size() + 1 > most_bytes) {
    ++dropped_lines;
    return;
  }
  bytes_.append(line);
  bytes_.push_back('\n');
}

void
waiting_lines::flush()
{
  std::size_t written = 0;
  while (written < bytes_.size()) {
    pollfd writable{ descriptor_, POLLOUT, 0 };
    if (::poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(bytes_per_write, bytes_.size() - written);
    const ssize_t result = ::write(descriptor_, bytes_.data() + written, size);
    if (result < 0 && errno != EINTR) {
      break;
    }
    written += result > 0 ? static_cast<std::size_t>(result) : 0;
  }
  bytes_.erase(0, written);
}

std::uint64_t
waiting_lines::dropped()
{
  return dropped_lines;
}

}
