#pragma once

#include "coltsfootlock/state/endpoint.h"

#include <cstddef>
#include <string>

namespace coltsfootlock {

/// A non-blocking TCP connection. Closes itself.
class tcp_stream
{
public:
  enum class state
  {
    done,    ///< Bytes moved.
    waiting, ///< Nothing can be moved now.
    broken,  ///< The connection is over.
  };

  tcp_stream() = default;
  /// Takes over a connected descriptor.
  explicit tcp_stream(int descriptor);
  tcp_stream(tcp_stream&& other) noexcept;
  tcp_stream& operator=(tcp_stream&& other) noexcept;
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;
  ~tcp_stream();

  /// Begins to connect; not open if that failed at once.
  static tcp_stream connect(const endpoint& server);

  bool is_open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  void close();

  /// Sends from the front of `bytes` and erases what was taken.
  state write(std::string& bytes);

  /// Reads up to `capacity` bytes; `size` is set with `done`.
  state read(char* memory, std::size_t capacity, std::size_t& size);

private:
  int descriptor_ = -1;
};

}
