#include "store.h"

#include <array>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::chrono::seconds history_length{ 20 };
constexpr std::chrono::milliseconds answer_time{ 4 };
constexpr std::size_t page_bytes = 1000 * 1000;
constexpr std::size_t page_items = 500;

std::string
to_base64(std::string_view bytes)
{
  constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t position = 0; position < bytes.size(); position += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      const bool inside = position + index < bytes.size();
      group = group << 8U | (inside ? static_cast<std::uint8_t>(bytes[position + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const bool inside = position + index <= bytes.size();
      text += inside ? digits[group >> (18 - 6 * index) & 63U] : '=';
    }
  }
  return text;
}

std::string
decode_query_text(std::string_view text)
{
  std::string result;
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (text[position] == '%' && position + 2 < text.size()) {
      result += static_cast<char>(std::stoi(std::string(text.substr(position + 1, 2)), nullptr, 16));
      position += 2;
    } else {
      result += text[position];
    }
  }
  return result;
}

std::map<std::string, std::string>
read_query(std::string_view target)
{
  std::map<std::string, std::string> result;
  std::size_t begin = target.find('?');
  while (begin != std::string_view::npos && begin < target.size()) {
    const std::size_t end = std::min(target.find('&', begin + 1), target.size());
    const std::string_view part = target.substr(begin + 1, end - begin - 1);
    const std::size_t equals = std::min(part.find('='), part.size());
    result[std::string(part.substr(0, equals))] = decode_query_text(part.substr(std::min(equals + 1, part.size())));
    begin = end;
  }
  return result;
}

std::string
http_response(int status, const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Refused") +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool
send_all(int connection, std::string_view bytes)
{
  while (!bytes.empty()) {
    const ssize_t sent = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

}

store::store(const std::vector<std::string>& addresses, std::uint16_t port)
{
  for (const std::string& address : addresses) {
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &local.sin_addr);
    auto added = std::make_unique<line>();
    added->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(added->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(added->listener, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
        ::listen(added->listener, 128) != 0) {
      throw std::runtime_error("the store cannot listen on " + address);
    }
    line& from = *lines_.emplace_back(std::move(added));
    std::thread([this, &from] { accept_all(from); }).detach();
  }
}

void
store::partition(std::size_t machine, bool partitioned)
{
  lines_[machine]->partitioned = partitioned;
}

void
store::add_change(change added)
{
  history_.push_back(std::move(added));
  while (!history_.empty() && steady::now() - history_.front().at > history_length) {
    history_from_ = history_.front().content.revision;
    history_.pop_front();
  }
  changed_.notify_all();
}

void
store::put(const std::string& key, const std::string& value)
{
  const std::string text = to_base64(value);
  const std::lock_guard lock(mutex_);
  const auto [position, is_new] = items_.try_emplace(key);
  item& written = position->second;
  written.revision = ++revision_;
  written.created = is_new ? revision_ : written.created;
  written.value = text;
  add_change({ steady::now(), key, written, false });
}

void
store::remove(const std::string& key)
{
  const std::lock_guard lock(mutex_);
  if (items_.erase(key) > 0) {
    add_change({ steady::now(), key, { "", ++revision_, 0 }, true });
  }
}

void
store::accept_all(line& from)
{
  while (true) {
    const int connection = ::accept4(from.listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection >= 0) {
      std::thread([this, connection, &from] { serve(connection, from); }).detach();
    }
  }
}

void
store::serve(int connection, line& from)
{
  const int on = 1;
  ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string received;
  std::array<char, 4096> buffer{};
  while (true) {
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
      const ssize_t size = ::recv(connection, buffer.data(), buffer.size(), 0);
      if (size <= 0) {
        break;
      }
      received.append(buffer.data(), static_cast<std::size_t>(size));
      continue;
    }
    const std::size_t begin = received.find(' ') + 1;
    const std::string target = received.substr(begin, received.find(' ', begin) - begin);
    received.erase(0, end + 4);
    std::this_thread::sleep_for(answer_time);
    from.watches += target.starts_with("/kv-watch?") ? 1 : 0;
    const std::string response = respond(target);
    while (from.partitioned) {
      std::this_thread::sleep_for(answer_time);
    }
    if (!send_all(connection, response)) {
      break;
    }
  }
  ::close(connection);
}

std::string
store::respond(const std::string& target)
{
  const auto query = read_query(target);
  if (target.starts_with("/kv-range?")) {
    return list(query);
  }
  return target.starts_with("/kv-watch?") ? watch(query) : http_response(404, "");
}

std::string
store::list(const std::map<std::string, std::string>& query)
{
  const std::string prefix = query.at("prefix");
  const std::string after = query.contains("after") ? query.at("after") : "";
  const std::lock_guard lock(mutex_);
  std::string items;
  std::size_t count = 0;
  std::size_t bytes = 0;
  bool more = false;
  for (auto position = items_.upper_bound(after); position != items_.end(); ++position) {
    const auto& [key, content] = *position;
    if (!key.starts_with(prefix)) {
      continue;
    }
    if (count == page_items || bytes >= page_bytes) {
      more = true;
      break;
    }
    ++count;
    bytes += content.value.size() / 4 * 3;
    items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")" + content.value +
             R"(","revision":)" + std::to_string(content.revision) + R"(,"created-rev":)" +
             std::to_string(content.created) + R"(,"lease":0})";
  }
  return http_response(200,
                       R"({"items":[)" + items + R"(],"has-more":)" + (more ? "true" : "false") + R"(,"current-rev":)" +
                         std::to_string(revision_) + "}");
}

/// Like the store that the users' bench plays, it returns the changes up to a total of about 1 MB, the last one whole.
std::string
store::watch(const std::map<std::string, std::string>& query)
{
  const std::uint64_t after = std::stoull(query.at("after"));
  const std::string prefix = query.at("prefix");
  const auto end = steady::now() + std::chrono::milliseconds(std::stoll(query.at("wait-ms")));
  std::unique_lock lock(mutex_);
  const auto has_changes = [this, after, &prefix] {
    for (auto position = history_.rbegin(); position != history_.rend() && position->content.revision > after;
         ++position) {
      if (position->key.starts_with(prefix)) {
        return true;
      }
    }
    return false;
  };
  changed_.wait_until(lock, end, has_changes);
  if (after < history_from_ && revision_ > after) {
    return http_response(410, "");
  }
  std::string events;
  std::size_t bytes = 0;
  std::uint64_t current = revision_;
  for (const change& one : history_) {
    if (one.content.revision <= after || !one.key.starts_with(prefix)) {
      continue;
    }
    if (bytes >= page_bytes) {
      break;
    }
    bytes += one.content.value.size() / 4 * 3;
    events += (events.empty() ? "" : ",") + std::string(R"({"key":")") + one.key + R"(","revision":)" +
              std::to_string(one.content.revision);
    events += one.gone ? std::string(R"(,"is-gone":true})")
                       : R"(,"value":")" + one.content.value + R"(","created-rev":)" +
                           std::to_string(one.content.created) + R"(,"lease":0})";
    current = bytes >= page_bytes ? one.content.revision : revision_;
  }
  return http_response(200, R"({"events":[)" + events + R"(],"current-rev":)" + std::to_string(current) + "}");
}

}
