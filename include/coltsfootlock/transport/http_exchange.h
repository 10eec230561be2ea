#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/time.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace coltsfootlock {

struct http_answer
{
  int status = 0;
  std::string body;
  std::string header{}; ///< Value of the header that the exchange captures, at most 64 bytes; empty without it.

  auto operator<=>(const http_answer&) const = default;
};

/// GET calls to one server over a connection that stays open, one call at a time, without blocking and without threads.
/// A call that gets no answer in time ends with its connection; the next one opens a new connection.
///
/// A server may send a second copy of an answer, which arrives late and would pass for the answer to the next call.
/// Bytes that arrive between two calls end the connection. Calls carry a number, and a server that repeats it in its
/// answers, as `page_server` does, cannot be misunderstood; for other servers the caller has to check the content, and
/// ends the connection with `disconnect` if it does not fit.
class http_exchange
{
public:
  /// Header with the number of a call, and with that of the call that is answered.
  static constexpr const char* call_header = "Coltsfootlock-Call";

  /// `most_body_bytes`: a longer body fails the call with the kind `too_large`. `captured_header`: name of the header
  /// whose value the answers contain; empty for none.
  http_exchange(const endpoint& server, std::size_t most_body_bytes, std::string captured_header = {});
  ~http_exchange();
  http_exchange(http_exchange&&) noexcept;
  http_exchange& operator=(http_exchange&&) noexcept;

  /// Sends a call. Nothing may be under way.
  void get(const std::string& target, instant deadline);

  /// Ends the connection, so that the next call opens a new one. Nothing may be under way.
  void disconnect();

  bool busy() const;

  /// For poll(); -1 without a connection.
  int descriptor() const;

  /// The events to poll for.
  short events() const;

  /// Ends of the call under way, if it is over: its answer, or why there is none. To be called when the descriptor is
  /// ready and when the deadline has passed.
  std::optional<std::variant<http_answer, error>> advance(instant now);

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}
