#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/transport/owned_descriptor.h"

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

  /// Begins to connect; not open if that failed at once.
  static tcp_stream connect(const endpoint& server);

  bool is_open() const { return descriptor_.is_open(); }
  int descriptor() const { return descriptor_.get(); }
  void close() { descriptor_.close(); }

  /// True if bytes can be read, or the connection is over.
  bool is_readable() const;

  /// Sends from the front of `bytes` and erases what was taken.
  state write(std::string& bytes);

  /// Reads up to `capacity` bytes; `size` is set with `done`.
  state read(char* memory, std::size_t capacity, std::size_t& size);

private:
  owned_descriptor descriptor_;
};

}
