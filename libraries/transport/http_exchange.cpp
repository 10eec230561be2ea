#include "coltsfootlock/transport/http_exchange.h"

#include "header_value.h"
#include "tcp_stream.h"

#include <cstdint>
#include <utility>

#include <http_parser.h>
#include <poll.h>

namespace coltsfootlock {

namespace {

constexpr std::size_t read_bytes = 64 * 1024;

/// What http_parser reports of one response.
struct response_reader
{
  http_parser parser{};
  std::string body;
  std::size_t most_body_bytes = 0;
  bool complete = false;
  bool too_large = false;
  bool keep_alive = false;
  header_value call; ///< Number of the answered call; empty if the server does not state it.
  header_value captured;
  std::string captured_header;

  void restart()
  {
    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = this;
    body.clear();
    complete = false;
    too_large = false;
    call = header_value(http_exchange::call_header);
    captured = header_value(captured_header);
  }

  static int on_header_field(http_parser* parser, const char* data, std::size_t size)
  {
    auto& self = *static_cast<response_reader*>(parser->data);
    self.call.add_name({ data, size });
    self.captured.add_name({ data, size });
    return 0;
  }

  static int on_header_value(http_parser* parser, const char* data, std::size_t size)
  {
    auto& self = *static_cast<response_reader*>(parser->data);
    self.call.add_value({ data, size });
    self.captured.add_value({ data, size });
    return 0;
  }

  static int on_body(http_parser* parser, const char* data, std::size_t size)
  {
    auto& self = *static_cast<response_reader*>(parser->data);
    if (self.body.size() + size > self.most_body_bytes) {
      self.too_large = true;
      return 1;
    }
    self.body.append(data, size);
    return 0;
  }

  static int on_complete(http_parser* parser)
  {
    auto& self = *static_cast<response_reader*>(parser->data);
    self.complete = true;
    self.keep_alive = http_should_keep_alive(parser) != 0;
    return 0;
  }
};

http_parser_settings
parser_settings()
{
  http_parser_settings result;
  http_parser_settings_init(&result);
  result.on_header_field = &response_reader::on_header_field;
  result.on_header_value = &response_reader::on_header_value;
  result.on_body = &response_reader::on_body;
  result.on_message_complete = &response_reader::on_complete;
  return result;
}

}

struct http_exchange::implementation
{
  endpoint server;
  tcp_stream stream;
  response_reader reader;
  std::string unsent;
  std::string target;
  instant deadline;
  bool busy = false;
  std::uint64_t call_number = 0;
  std::string read_buffer = std::string(read_bytes, '\0');

  std::variant<http_answer, error> fail(const std::string& problem, error_kind kind = error_kind::unavailable)
  {
    busy = false;
    stream.close();
    return error{ kind, "http://" + to_string(server) + target + ": " + problem };
  }

  std::optional<std::variant<http_answer, error>> send_and_receive();
};

http_exchange::http_exchange(const endpoint& server, std::size_t most_body_bytes, std::string captured_header)
  : implementation_(std::make_unique<implementation>())
{
  implementation_->server = server;
  implementation_->reader.most_body_bytes = most_body_bytes;
  implementation_->reader.captured_header = std::move(captured_header);
}

http_exchange::~http_exchange() = default;
http_exchange::http_exchange(http_exchange&&) noexcept = default;
http_exchange&
http_exchange::operator=(http_exchange&&) noexcept = default;

void
http_exchange::get(const std::string& target, instant deadline)
{
  implementation& call = *implementation_;
  call.target = target;
  call.deadline = deadline;
  call.busy = true;
  call.unsent = "GET " + target + " HTTP/1.1\r\nHost: " + to_string(call.server) + "\r\n" + call_header + ": " +
                std::to_string(++call.call_number) + "\r\n\r\n";
  call.reader.restart();
  if (call.stream.is_open() && call.stream.is_readable()) {
    call.stream.close(); // An end of the connection, or bytes that answer no call.
  }
  if (!call.stream.is_open()) {
    call.stream = tcp_stream::connect(call.server);
  }
  if (call.stream.write(call.unsent) == tcp_stream::state::broken) {
    call.stream.close(); // Reported by advance().
  }
}

void
http_exchange::disconnect()
{
  implementation_->stream.close();
}

bool
http_exchange::busy() const
{
  return implementation_->busy;
}

int
http_exchange::descriptor() const
{
  return implementation_->stream.descriptor();
}

short
http_exchange::events() const
{
  return static_cast<short>(implementation_->unsent.empty() ? POLLIN : POLLIN | POLLOUT);
}

std::optional<std::variant<http_answer, error>>
http_exchange::implementation::send_and_receive()
{
  static const http_parser_settings settings = parser_settings();
  if (!stream.is_open()) {
    return fail("cannot connect, or the connection was lost");
  }
  if (!unsent.empty() && stream.write(unsent) == tcp_stream::state::broken) {
    return fail("the connection was lost");
  }
  while (true) {
    std::size_t size = 0;
    const auto state = stream.read(read_buffer.data(), read_buffer.size(), size);
    if (state == tcp_stream::state::waiting) {
      return std::nullopt;
    }
    if (state == tcp_stream::state::broken) {
      return fail("the connection ended before a complete answer");
    }
    if (!busy) {
      return fail("unexpected bytes");
    }
    const std::size_t parsed = http_parser_execute(&reader.parser, &settings, read_buffer.data(), size);
    if (reader.complete) {
      busy = false;
      const std::string& answered = reader.call.value();
      if (!answered.empty() && answered != std::to_string(call_number)) {
        return fail("the answer belongs to an earlier call");
      }
      http_answer answer{ static_cast<int>(reader.parser.status_code),
                          std::move(reader.body),
                          reader.captured.value() };
      if (!reader.keep_alive || parsed < size) {
        stream.close();
      }
      return answer;
    }
    if (parsed < size) {
      return reader.too_large ? fail("the answer is too large", error_kind::too_large)
                              : fail(http_errno_description(HTTP_PARSER_ERRNO(&reader.parser)));
    }
  }
}

std::optional<std::variant<http_answer, error>>
http_exchange::advance(instant now)
{
  implementation& call = *implementation_;
  if (!call.busy) {
    // The server may end an idle connection; a readable idle connection is of no further use.
    call.stream.close();
    return std::nullopt;
  }
  auto result = call.send_and_receive();
  if (!result && now >= call.deadline) {
    return call.fail("no answer in time");
  }
  return result;
}

}
