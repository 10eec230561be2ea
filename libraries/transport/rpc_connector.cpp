#include "rpc_connector.h"

#include <sys/socket.h>

namespace coltsfootlock {

namespace {

constexpr std::size_t largest_call = 64 * 1024;
constexpr std::size_t threads = 8;
constexpr auto read_limit = std::chrono::seconds(2);

void
allow_reuse_after_restart(int descriptor)
{
  // The default of cpp-httplib, SO_REUSEPORT, lets two daemons share one address unnoticed.
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

}

rpc_connector::rpc_connector()
{
  server_.set_socket_options(&allow_reuse_after_restart);
  server_.set_tcp_nodelay(true); // Without it a call over loopback took 26 ms.
  server_.set_payload_max_length(largest_call);
  server_.set_read_timeout(read_limit);
  server_.set_write_timeout(read_limit);
  // A kept connection would occupy a thread while it is idle.
  server_.set_keep_alive_max_count(1);
  server_.set_keep_alive_timeout(1);
  server_.new_task_queue = [] { return new httplib::ThreadPool(threads); };
  server_.Post(
    "/", [this](const httplib::Request& request, httplib::Response& response) { OnRequest(request.body, &response); });
}

rpc_connector::~rpc_connector()
{
  end();
}

bool
rpc_connector::bind(const endpoint& address, error& why)
{
  const std::string text = to_string(address);
  if (server_.bind_to_port(text.substr(0, text.find(':')), address.port)) {
    return true;
  }
  why = { error_kind::unavailable, "cannot listen on " + text + "; choose an address of this VM and a free port" };
  return false;
}

bool
rpc_connector::StartListening()
{
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  // stop() has no effect before the server runs.
  while (!server_.is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

bool
rpc_connector::StopListening()
{
  end();
  return true;
}

void
rpc_connector::end()
{
  if (thread_.joinable()) {
    server_.stop();
    thread_.join();
  }
}

bool
rpc_connector::SendResponse(const std::string& response, void* http_response)
{
  static_cast<httplib::Response*>(http_response)->set_content(response, "application/json");
  return true;
}

}
