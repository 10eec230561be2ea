#include "coltsfootlock/transport/page_server.h"

#include "coltsfootlock/transport/http_exchange.h"
#include "coltsfootlock/transport/log.h"
#include "header_value.h"
#include "socket_address.h"
#include "tcp_stream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <exception>
#include <list>
#include <utility>

#include <http_parser.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coltsfootlock {

namespace {

/// Connections at once: the platform's readiness checks, a metrics reader, the daemons of a failure domain, and those
/// of the whole fleet that register with a seed when they start together.
constexpr std::size_t most_connections = 2048;

/// A connection without a request for this long is closed; longer than the usual interval of readiness checks and
/// scrapes.
constexpr milliseconds idle_timeout{ 15000 };

constexpr std::size_t longest_path = 8 * 1024; // 256 loads of targets

/// Connections that wait to be accepted. Beyond it a caller's connection is delayed by a second.
constexpr int backlog = 512;

struct connection
{
  tcp_stream stream;
  http_parser parser{};
  std::string path;
  bool complete = false;
  bool keep_alive = false;
  std::string unsent;
  instant last_used;
  page_server::handler waiting; ///< Set while the request waits for its page.
  page_request request;
  header_value call; ///< Number of the call, to be repeated in its answer.

  void restart()
  {
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = this;
    path.clear();
    complete = false;
    call = header_value(http_exchange::call_header);
  }

  static int on_header_field(http_parser* parser, const char* data, std::size_t size)
  {
    static_cast<connection*>(parser->data)->call.add_name({ data, size });
    return 0;
  }

  static int on_header_value(http_parser* parser, const char* data, std::size_t size)
  {
    static_cast<connection*>(parser->data)->call.add_value({ data, size });
    return 0;
  }

  static int on_url(http_parser* parser, const char* data, std::size_t size)
  {
    auto& self = *static_cast<connection*>(parser->data);
    if (self.path.size() + size > longest_path) {
      return 1;
    }
    self.path.append(data, size);
    return 0;
  }

  static int on_complete(http_parser* parser)
  {
    auto& self = *static_cast<connection*>(parser->data);
    self.complete = true;
    self.keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
  }
};

http_parser_settings
parser_settings()
{
  http_parser_settings result;
  http_parser_settings_init(&result);
  result.on_url = &connection::on_url;
  result.on_header_field = &connection::on_header_field;
  result.on_header_value = &connection::on_header_value;
  result.on_message_complete = &connection::on_complete;
  return result;
}

std::map<std::string, std::string>
read_query(const std::string& path)
{
  std::map<std::string, std::string> result;
  std::size_t begin = path.find('?');
  while (begin != std::string::npos && begin < path.size()) {
    const std::size_t end = std::min(path.find('&', begin + 1), path.size());
    const std::string part = path.substr(begin + 1, end - begin - 1);
    const std::size_t separator = part.find('=');
    result[part.substr(0, separator)] = separator == std::string::npos ? "" : part.substr(separator + 1);
    begin = end;
  }
  return result;
}

const char*
reason_phrase(int status)
{
  return http_status_str(static_cast<http_status>(status));
}

std::string
to_bytes(const page& content, const std::string& call, bool keep_alive)
{
  std::string headers;
  for (const auto& [name, value] : content.headers) {
    headers.append("\r\n").append(name).append(": ").append(value);
  }
  return "HTTP/1.1 " + std::to_string(content.status) + " " + reason_phrase(content.status) +
         "\r\nContent-Type: " + content.content_type + "\r\nContent-Length: " + std::to_string(content.body.size()) +
         (call.empty() ? "" : std::string("\r\n") + http_exchange::call_header + ": " + call) + headers +
         (keep_alive ? "" : "\r\nConnection: close") + "\r\n\r\n" + content.body;
}

/// An error in the making of a page ends neither the process nor the other connections.
std::optional<page>
make_page(const page_server::handler& make, const page_request& request, instant now)
{
  try {
    return make(request, now);
  } catch (const std::exception& problem) {
    write_log(log_level::error, "pages", std::string("unexpected error reason=\"") + problem.what() + "\"");
    return page{ HTTP_STATUS_INTERNAL_SERVER_ERROR, "", "text/plain" };
  }
}

}

struct page_server::implementation
{
  tcp_stream listener;
  std::map<std::string, handler> pages;
  std::list<connection> connections;
  std::uint64_t sent_bytes = 0;

  void accept_all(instant now);
  tcp_stream::state send_unsent(connection& caller);
  handler find(const connection& caller) const;
  /// Appends the answer to a complete request. False once the connection is over.
  bool answer(connection& caller, instant now);
  /// False once the connection is over.
  bool serve(connection& caller, instant now);
};

page_server::page_server(std::unique_ptr<implementation> parts)
  : implementation_(std::move(parts))
{
}

page_server::page_server(page_server&&) noexcept = default;
page_server&
page_server::operator=(page_server&&) noexcept = default;
page_server::~page_server() = default;

std::optional<page_server>
page_server::listen(const endpoint& local, error& why)
{
  auto parts = std::make_unique<implementation>();
  parts->listener = tcp_stream(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  const sockaddr_in address = to_socket_address(local);
  if (!parts->listener.is_open() ||
      ::setsockopt(parts->listener.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      ::bind(parts->listener.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(parts->listener.descriptor(), backlog) != 0) {
    why = { error_kind::unavailable,
            "cannot listen on " + to_string(local) + ": " + std::strerror(errno) +
              "; choose an address of this VM and a free port" };
    return std::nullopt;
  }
  return page_server(std::move(parts));
}

endpoint
page_server::local() const
{
  return bound_address(implementation_->listener.descriptor());
}

void
page_server::add_page(const std::string& path, handler make)
{
  implementation_->pages[path] = std::move(make);
}

std::uint64_t
page_server::sent_bytes() const
{
  return implementation_->sent_bytes;
}

std::size_t
page_server::unsent_bytes() const
{
  std::size_t result = 0;
  for (const connection& caller : implementation_->connections) {
    result += caller.unsent.size();
  }
  return result;
}

void
page_server::add_descriptors(std::vector<pollfd>& wanted) const
{
  wanted.push_back({ implementation_->listener.descriptor(), POLLIN, 0 });
  for (const connection& caller : implementation_->connections) {
    const auto events = static_cast<short>(caller.unsent.empty() ? POLLIN : POLLIN | POLLOUT);
    wanted.push_back({ caller.stream.descriptor(), events, 0 });
  }
}

void
page_server::implementation::accept_all(instant now)
{
  while (true) {
    const int descriptor = ::accept4(listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    if (connections.size() >= most_connections) {
      connections.pop_front();
    }
    connection& added = connections.emplace_back();
    added.stream = tcp_stream(descriptor);
    added.last_used = now;
    added.restart();
  }
}

page_server::handler
page_server::implementation::find(const connection& caller) const
{
  if (caller.parser.method != HTTP_GET) {
    return [](const page_request&, instant) { return page{ 405, "", "text/plain" }; };
  }
  const auto found = pages.find(caller.path.substr(0, caller.path.find('?')));
  if (found == pages.end()) {
    return [](const page_request&, instant) { return page{ 404, "", "text/plain" }; };
  }
  return found->second;
}

tcp_stream::state
page_server::implementation::send_unsent(connection& caller)
{
  const std::size_t before = caller.unsent.size();
  const tcp_stream::state result = caller.stream.write(caller.unsent);
  sent_bytes += before - caller.unsent.size();
  return result;
}

bool
page_server::implementation::answer(connection& caller, instant now)
{
  const auto content = make_page(caller.waiting, caller.request, now);
  if (!content) {
    return true;
  }
  caller.waiting = nullptr;
  caller.last_used = now;
  caller.unsent += to_bytes(*content, caller.call.value(), caller.keep_alive);
  if (send_unsent(caller) == tcp_stream::state::broken || !caller.keep_alive) {
    return false;
  }
  caller.restart();
  return true;
}

bool
page_server::implementation::serve(connection& caller, instant now)
{
  static const http_parser_settings settings = parser_settings();
  std::array<char, 4096> buffer;
  if (caller.waiting && !answer(caller, now)) {
    return false;
  }
  while (true) {
    if (!caller.unsent.empty() && send_unsent(caller) == tcp_stream::state::broken) {
      return false;
    }
    std::size_t size = 0;
    const auto state = caller.stream.read(buffer.data(), buffer.size(), size);
    if (state == tcp_stream::state::waiting) {
      return true;
    }
    if (state == tcp_stream::state::broken || caller.waiting) {
      return false; // Nobody sends a second request before the answer to the first.
    }
    const std::size_t parsed = http_parser_execute(&caller.parser, &settings, buffer.data(), size);
    if (!caller.complete && parsed < size) {
      return false;
    }
    if (!caller.complete) {
      continue;
    }
    caller.request = { read_query(caller.path), now };
    caller.waiting = find(caller);
    if (!answer(caller, now)) {
      return false;
    }
  }
}

void
page_server::advance(std::span<const pollfd> polled, instant now)
{
  std::size_t position = 1; // The listener is the first one.
  std::erase_if(implementation_->connections, [&](connection& caller) {
    const bool ready = position < polled.size() && polled[position].revents != 0;
    ++position;
    if (ready) {
      return !implementation_->serve(caller, now);
    }
    if (caller.waiting) {
      return !implementation_->answer(caller, now);
    }
    return now - caller.last_used > idle_timeout;
  });
  if (!polled.empty() && polled.front().revents != 0) {
    implementation_->accept_all(now);
  }
}

}
