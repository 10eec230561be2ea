#pragma once

#include "coltsfootlock/state/endpoint.h"
#include "coltsfootlock/state/time.h"

#include <deque>
#include <list>
#include <optional>
#include <string>

namespace coltsfootlock::soak {

/// What a proxy does to the connections through it.
enum class link_fault
{
  none,
  silent,  ///< Nothing passes in either direction; connections stay open.
  one_way, ///< Only what the client sends passes.
  delayed, ///< Everything passes late.
  reset    ///< Connections are reset, and new ones too.
};

/// A loopback proxy between one daemon and the store. Belongs to one thread.
class tcp_proxy
{
public:
  static constexpr milliseconds delay{ 300 };

  tcp_proxy(const endpoint& local, const endpoint& server);
  ~tcp_proxy();
  tcp_proxy(const tcp_proxy&) = delete;
  tcp_proxy& operator=(const tcp_proxy&) = delete;

  /// Connections that a fault hit while open stay hit until they are closed, as after a lost state in the network.
  void set_fault(link_fault fault);

  void advance(instant now);

private:
  struct pending_bytes
  {
    instant due;
    std::string bytes;
  };
  struct direction
  {
    std::deque<pending_bytes> pending;
  };
  struct connection
  {
    int client = -1;
    int server = -1;
    direction up;
    direction down;
    link_fault fault = link_fault::none;
  };

  void accept_all();
  bool pump(connection& link, instant now);
  static bool read(int from, direction& into, instant due);
  static bool write(int to, direction& from, instant now);
  static void close(connection& link, bool reset);

  endpoint server_;
  int listener_ = -1;
  link_fault fault_ = link_fault::none;
  std::list<connection> connections_;
};

}
