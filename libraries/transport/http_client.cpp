#include "coltsfootlock/transport/http_client.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <mutex>
#include <vector>

namespace coltsfootlock {

namespace {

std::optional<std::uint64_t>
parse_version(const std::string& text)
{
  std::uint64_t value = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || status != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::string
describe(const endpoint& server, const std::string& path)
{
  return "http://" + to_string(server) + path;
}

}

struct http_client::implementation
{
  std::mutex mutex;
  bool stopped = false;
  std::vector<httplib::ClientImpl*> running;

  bool begin(httplib::ClientImpl& call)
  {
    const std::lock_guard lock(mutex);
    if (!stopped) {
      running.push_back(&call);
    }
    return !stopped;
  }

  void end(httplib::ClientImpl& call)
  {
    const std::lock_guard lock(mutex);
    running.erase(std::remove(running.begin(), running.end(), &call), running.end());
  }

  std::optional<http_response> send(const endpoint& server,
                                    httplib::Request request,
                                    const http_limits& limits,
                                    error& why);
};

std::optional<http_response>
http_client::implementation::send(const endpoint& server,
                                  httplib::Request request,
                                  const http_limits& limits,
                                  error& why)
{
  const std::string full = to_string(server);
  httplib::ClientImpl call(full.substr(0, full.find(':')), server.port);
  call.set_connection_timeout(limits.connect);
  call.set_read_timeout(limits.total);
  call.set_write_timeout(limits.total);
  call.set_tcp_nodelay(true);

  http_response response;
  const auto deadline = std::chrono::steady_clock::now() + limits.total;
  request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    if (response.body.size() + size > limits.body_bytes || std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    response.body.append(data, size);
    return true;
  };
  if (!begin(call)) {
    why = { error_kind::unavailable, describe(server, request.path) + ": this daemon is stopping" };
    return std::nullopt;
  }
  httplib::Response answer;
  httplib::Error failure = httplib::Error::Success;
  const bool answered = call.send(request, answer, failure);
  end(call);
  if (!answered) {
    const bool refused = failure == httplib::Error::Canceled;
    why = { refused ? error_kind::too_large : error_kind::unavailable,
            describe(server, request.path) + ": " + httplib::to_string(failure) + " (at most " +
              std::to_string(limits.total.count()) + " ms and " + std::to_string(limits.body_bytes) +
              " bytes); check that the server runs and is reachable" };
    return std::nullopt;
  }
  response.status = answer.status;
  response.version = parse_version(answer.get_header_value("X-Version"));
  return response;
}

http_client::http_client()
  : implementation_(std::make_unique<implementation>())
{
}

http_client::~http_client() = default;

std::optional<http_response>
http_client::get(const endpoint& server, const std::string& path, const http_limits& limits, error& why)
{
  httplib::Request request;
  request.method = "GET";
  request.path = path;
  return implementation_->send(server, std::move(request), limits, why);
}

std::optional<http_response>
http_client::post(const endpoint& server,
                  const std::string& path,
                  const std::string& json,
                  const http_limits& limits,
                  error& why)
{
  httplib::Request request;
  request.method = "POST";
  request.path = path;
  request.set_header("Content-Type", "application/json");
  request.body = json;
  return implementation_->send(server, std::move(request), limits, why);
}

void
http_client::stop()
{
  const std::lock_guard lock(implementation_->mutex);
  implementation_->stopped = true;
  for (httplib::ClientImpl* call : implementation_->running) {
    call->stop();
  }
}

}
