#include "store.h"

#include "packet.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t items_per_page = 500;
constexpr std::uint64_t oldest_revision = 100;

std::string
to_base64(const std::string& bytes)
{
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      group = group << 8U | (at + index < bytes.size() ? static_cast<std::uint8_t>(bytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text += at + index > bytes.size() ? '=' : digits[(group >> (18 - 6 * index)) & 63U];
    }
  }
  return text;
}

/// The value of `name` in the query of `target`; empty if it has none. Percent escapes are decoded.
std::string
query_value(const std::string& target, const std::string& name)
{
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = std::min(target.find('&', at + 1), target.size());
    const std::string part = target.substr(at + 1, end - at - 1);
    if (part.starts_with(name + "=")) {
      std::string value;
      for (std::size_t index = name.size() + 1; index < part.size(); ++index) {
        if (part[index] == '%' && index + 2 < part.size()) {
          value += static_cast<char>(std::strtol(part.substr(index + 1, 2).c_str(), nullptr, 16));
          index += 2;
        } else {
          value += part[index];
        }
      }
      return value;
    }
    at = end == target.size() ? std::string::npos : end;
  }
  return {};
}

std::uint64_t
query_number(const std::string& target, const std::string& name)
{
  return std::strtoull(query_value(target, name).c_str(), nullptr, 10);
}

}

store::store(event_loop& loop, std::uint32_t address, std::uint16_t port)
  : loop_(loop)
  , listener_(listen_tcp(address, port))
{
  loop_.watch(listener_, [this] { accept_all(); });
}

void
store::put(const std::string& key, const std::string& value)
{
  item& one = items_[key];
  one.value = to_base64(value);
  one.revision = ++revision_;
  one.created = one.created == 0 ? revision_ : one.created;
  changes_.push_back({ key, revision_, one });
  answer_watches();
}

void
store::remove(const std::string& key)
{
  if (items_.erase(key) != 0) {
    changes_.push_back({ key, ++revision_, std::nullopt });
    answer_watches();
  }
}

bool
store::has(const std::string& key, const std::string& value) const
{
  const auto found = items_.find(key);
  return found != items_.end() && found->second.value == to_base64(value);
}

void
store::accept_all()
{
  while (true) {
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    connections_[descriptor] = {};
    loop_.watch(descriptor, [this, descriptor] { read(descriptor); });
  }
}

void
store::end(int descriptor)
{
  loop_.forget(descriptor);
  connections_.erase(descriptor);
  close(descriptor);
}

void
store::read(int descriptor)
{
  std::array<char, 4096> buffer{};
  const ssize_t size = recv(descriptor, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    end(descriptor);
    return;
  }
  std::string& received = connections_[descriptor].received;
  received.append(buffer.data(), static_cast<std::size_t>(size));
  const std::size_t complete = received.find("\r\n\r\n");
  if (complete == std::string::npos) {
    return;
  }
  const std::size_t begin = received.find(' ');
  const std::string target = received.substr(begin + 1, received.find(' ', begin + 1) - begin - 1);
  received.erase(0, complete + 4);
  handle(descriptor, target);
}

void
store::handle(int descriptor, const std::string& target)
{
  const std::string prefix = query_value(target, "prefix");
  if (target.starts_with("/kv-range?")) {
    answer(descriptor, 200, range(prefix, query_value(target, "after")));
    return;
  }
  if (!target.starts_with("/kv-watch?")) {
    answer(descriptor, 404, "{}");
    return;
  }
  connection& caller = connections_[descriptor];
  caller.watches = true;
  caller.prefix = prefix;
  caller.after = query_number(target, "after");
  const auto wait = static_cast<std::int64_t>(query_number(target, "wait-ms"));
  caller.deadline = now_ms() + wait;
  loop_.after(wait, [this] { answer_watches(); });
  answer_watches();
}

void
store::answer(int descriptor, int status, const std::string& body)
{
  const std::string text = "HTTP/1.1 " + std::to_string(status) +
                           " x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                           "\r\n\r\n" + body;
  send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

void
store::answer_watches()
{
  for (auto& [descriptor, caller] : connections_) {
    if (!caller.watches) {
      continue;
    }
    if (caller.after < oldest_revision) {
      caller.watches = false;
      answer(descriptor, 410, "{}");
      continue;
    }
    const std::string events = events_after(caller.prefix, caller.after);
    if (!events.empty() || now_ms() >= caller.deadline) {
      caller.watches = false;
      answer(descriptor, 200, "{\"events\":[" + events + "],\"current-rev\":" + std::to_string(revision_) + "}");
    }
  }
}

std::string
store::events_after(const std::string& prefix, std::uint64_t after) const
{
  std::string text;
  for (const change& one : changes_) {
    if (one.revision <= after || !one.key.starts_with(prefix)) {
      continue;
    }
    text += text.empty() ? "" : ",";
    text += "{\"key\":\"" + one.key + "\",\"revision\":" + std::to_string(one.revision);
    text += one.content ? ",\"value\":\"" + one.content->value +
                            "\",\"created-rev\":" + std::to_string(one.content->created) + ",\"lease\":0}"
                        : ",\"is-gone\":true}";
  }
  return text;
}

std::string
store::range(const std::string& prefix, const std::string& after) const
{
  std::string text;
  std::size_t count = 0;
  auto position = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
  for (; position != items_.end() && position->first.starts_with(prefix) && count < items_per_page; ++position) {
    const item& one = position->second;
    text += std::string(count++ == 0 ? "" : ",") + "{\"key\":\"" + position->first + "\",\"value\":\"" + one.value +
            "\",\"revision\":" + std::to_string(one.revision) + ",\"created-rev\":" + std::to_string(one.created) +
            ",\"lease\":0}";
  }
  const bool more = position != items_.end() && position->first.starts_with(prefix);
  return "{\"items\":[" + text + "],\"has-more\":" + (more ? "true" : "false") +
         ",\"current-rev\":" + std::to_string(revision_) + "}";
}

}
