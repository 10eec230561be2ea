#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfootlock {

/// Lines that wait to be written to a descriptor. Never blocks: a reader that does not keep up costs lines, which are
/// counted. Belongs to one thread.
class waiting_lines
{
public:
  /// Bytes that may wait; the lines of some seconds at the highest rate seen.
  static constexpr std::size_t most_bytes = 256 * 1024;

  explicit waiting_lines(int descriptor)
    : descriptor_(descriptor)
  {
  }

  /// Appends a line, or counts it as dropped if there is no room.
  void add(std::string_view line);

  /// Writes as much as the descriptor takes at once.
  void flush();

  std::size_t waiting_bytes() const { return bytes_.size(); }

  /// Lines dropped in this process.
  static std::uint64_t dropped();

private:
  int descriptor_;
  std::string bytes_;
};

}
