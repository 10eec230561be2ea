#pragma once

// Stand-ins for the platform of coltsfootlock on loopback addresses: the store, hosts, clients and the routers, all in
// one thread, and the daemons as separate processes with the program and the settings template of the deploy file.

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using clock_type = std::chrono::steady_clock;

/// The case cannot run: exit status 2.
struct cannot_run : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

constexpr std::uint16_t packet_port = 8172;
constexpr std::uint16_t ready_port = 8167;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t metrics_port = 9464;
constexpr std::uint16_t store_port = 8169;
constexpr std::uint16_t host_port = 8080;

constexpr std::uint8_t flag_syn = 8;
constexpr std::uint8_t flag_ack = 128;
constexpr std::uint8_t flag_fin = 16;
constexpr std::uint8_t flag_rst = 2;
constexpr std::size_t head_bytes = 31;

inline std::string
to_text(std::uint32_t address)
{
  return std::to_string(address >> 24U) + "." + std::to_string((address >> 16U) & 255U) + "." +
         std::to_string((address >> 8U) & 255U) + "." + std::to_string(address & 255U);
}

struct packet
{
  std::uint32_t source = 0;
  std::uint16_t source_port = 0;
  std::uint32_t destination = 0;
  std::uint16_t destination_port = 0;
  std::uint32_t echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::string data;

  static void put(std::string& bytes, std::size_t at, std::uint64_t value, std::size_t width)
  {
    for (std::size_t index = 0; index < width; ++index) {
      bytes[at + index] = static_cast<char>(static_cast<std::uint8_t>(value >> (8 * index)));
    }
  }

  static std::uint64_t get(const char* bytes, std::size_t at, std::size_t width)
  {
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < width; ++index) {
      value |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[at + index])) << (8 * index);
    }
    return value;
  }

  /// The keyed sum of the ends of a flow: over all but the echo.
  std::uint32_t sum() const
  {
    std::uint64_t hash = 0x9ae16a3b2f90404fULL;
    const auto mix = [&hash](std::uint64_t value) { hash = (hash ^ value) * 0x9e3779b97f4a7c15ULL + (hash >> 29U); };
    mix(source);
    mix(source_port);
    mix(destination);
    mix(destination_port);
    mix(flags);
    mix(sequence);
    mix(acknowledged);
    for (const char one : data) {
      mix(static_cast<std::uint8_t>(one));
    }
    return static_cast<std::uint32_t>(hash >> 32U);
  }

  std::string bytes() const
  {
    std::string result(head_bytes, '\0');
    put(result, 0, source_port, 2);
    put(result, 2, source, 4);
    put(result, 6, destination_port, 2);
    put(result, 8, destination, 4);
    put(result, 12, echo, 4);
    put(result, 16, data.size(), 2);
    put(result, 18, flags, 1);
    put(result, 19, sum(), 4);
    put(result, 23, sequence, 4);
    put(result, 27, acknowledged, 4);
    return result + data;
  }

  static std::optional<packet> read(const char* bytes, std::size_t size, bool& intact)
  {
    if (size < head_bytes || size != head_bytes + get(bytes, 16, 2)) {
      return std::nullopt;
    }
    packet result;
    result.source_port = static_cast<std::uint16_t>(get(bytes, 0, 2));
    result.source = static_cast<std::uint32_t>(get(bytes, 2, 4));
    result.destination_port = static_cast<std::uint16_t>(get(bytes, 6, 2));
    result.destination = static_cast<std::uint32_t>(get(bytes, 8, 4));
    result.echo = static_cast<std::uint32_t>(get(bytes, 12, 4));
    result.flags = static_cast<std::uint8_t>(get(bytes, 18, 1));
    result.sequence = static_cast<std::uint32_t>(get(bytes, 23, 4));
    result.acknowledged = static_cast<std::uint32_t>(get(bytes, 27, 4));
    result.data.assign(bytes + head_bytes, size - head_bytes);
    intact = get(bytes, 19, 4) == result.sum();
    return result;
  }
};

/// A flow as the client names it: its address and port, and those of the route.
struct flow_name
{
  std::uint32_t client = 0;
  std::uint16_t client_port = 0;
  std::uint32_t route = 0;
  std::uint16_t route_port = 0;

  auto operator<=>(const flow_name&) const = default;
};

inline sockaddr_in
socket_address(std::uint32_t address, std::uint16_t port)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  result.sin_addr.s_addr = htonl(address);
  return result;
}

class descriptor
{
public:
  explicit descriptor(int value = -1)
    : value_(value)
  {
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  descriptor(descriptor&& other) noexcept
    : value_(other.release())
  {
  }
  descriptor& operator=(descriptor&& other) noexcept
  {
    if (this != &other) {
      reset();
      value_ = other.release();
    }
    return *this;
  }
  ~descriptor() { reset(); }

  int get() const { return value_; }
  bool open() const { return value_ >= 0; }
  int release()
  {
    const int result = value_;
    value_ = -1;
    return result;
  }
  void reset()
  {
    if (value_ >= 0) {
      ::close(value_);
    }
    value_ = -1;
  }

private:
  int value_;
};

inline descriptor
bound_socket(int type, std::uint32_t address, std::uint16_t port)
{
  descriptor result(::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  const sockaddr_in local = socket_address(address, port);
  ::setsockopt(result.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (type == SOCK_DGRAM) {
    const int room = 4 * 1024 * 1024;
    ::setsockopt(result.get(), SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
  }
  if (!result.open() || ::bind(result.get(), reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
      (type == SOCK_STREAM && ::listen(result.get(), 512) != 0)) {
    return descriptor();
  }
  return result;
}

inline std::string
base64(const std::string& bytes)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      group = (group << 8U) | (at + index < bytes.size() ? static_cast<std::uint8_t>(bytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      result += at + index > bytes.size() ? '=' : digits[(group >> (18 - 6 * index)) & 63U];
    }
  }
  return result;
}

/// An HTTP/1.1 server for short GET requests. The handler may leave a request waiting by returning nothing; it is asked
/// again in each round.
class http_server
{
public:
  struct response
  {
    int status = 200;
    std::string body;
    std::string header = {}; ///< One more header, without its line end.
  };
  using handler = std::function<std::optional<response>(const std::string& target, clock_type::time_point arrived)>;

  http_server(std::uint32_t address, std::uint16_t port, handler handle)
    : listener_(bound_socket(SOCK_STREAM, address, port))
    , handle_(std::move(handle))
  {
    if (!listener_.open()) {
      throw cannot_run("cannot listen on " + to_text(address) + ":" + std::to_string(port));
    }
  }

  void advance()
  {
    while (true) {
      if (stopped_) {
        return;
      }
      descriptor accepted(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!accepted.open()) {
        break;
      }
      connections_.push_back(connection{ std::move(accepted), {}, {}, {}, {}, false });
    }
    std::erase_if(connections_, [this](connection& one) { return !serve(one); });
  }

  /// Ends all connections, and accepts none until `resume`.
  void stop()
  {
    connections_.clear();
    stopped_ = true;
  }
  void resume() { stopped_ = false; }

  /// Ends the connections whose request is waiting. Returns their number.
  std::size_t cut_waiting()
  {
    return std::erase_if(connections_, [](const connection& one) { return one.waiting; });
  }

private:
  struct connection
  {
    descriptor socket;
    std::string received;
    std::string unsent;
    std::string target;
    clock_type::time_point arrived;
    bool waiting = false;
  };

  bool serve(connection& one)
  {
    char buffer[16384];
    while (true) {
      const ssize_t size = ::recv(one.socket.get(), buffer, sizeof(buffer), 0);
      if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
        return false;
      }
      if (size < 0) {
        break;
      }
      one.received.append(buffer, static_cast<std::size_t>(size));
    }
    while (true) {
      if (!one.waiting) {
        const std::size_t end = one.received.find("\r\n\r\n");
        if (end == std::string::npos) {
          break;
        }
        const std::size_t begin = one.received.find(' ') + 1;
        one.target = one.received.substr(begin, one.received.find(' ', begin) - begin);
        one.received.erase(0, end + 4);
        one.arrived = clock_type::now();
        one.waiting = true;
      }
      const auto made = handle_(one.target, one.arrived);
      if (!made) {
        break;
      }
      one.waiting = false;
      one.unsent += "HTTP/1.1 " + std::to_string(made->status) + " X\r\nContent-Type: application/json\r\n" +
                    (made->header.empty() ? "" : made->header + "\r\n") +
                    "Content-Length: " + std::to_string(made->body.size()) + "\r\n\r\n" + made->body;
    }
    while (!one.unsent.empty()) {
      const ssize_t sent = ::send(one.socket.get(), one.unsent.data(), one.unsent.size(), MSG_NOSIGNAL);
      if (sent < 0) {
        return errno == EAGAIN || errno == EINTR;
      }
      one.unsent.erase(0, static_cast<std::size_t>(sent));
    }
    return true;
  }

  descriptor listener_;
  handler handle_;
  std::vector<connection> connections_;
  bool stopped_ = false;
};

/// The platform's metadata store.
class store
{
public:
  std::uint64_t put(const std::string& key, const std::string& value)
  {
    items_[key] = { value, ++revision_, items_.count(key) != 0 ? items_[key].created : revision_ };
    history_.push_back({ key, revision_, false, value, items_[key].created });
    return revision_;
  }

  void remove(const std::string& key)
  {
    if (items_.erase(key) != 0) {
      history_.push_back({ key, ++revision_, true, {}, 0 });
    }
  }

  bool has(const std::string& key) const { return items_.count(key) != 0; }

  /// Empty if there is no such item.
  std::string value(const std::string& key) const
  {
    const auto found = items_.find(key);
    return found == items_.end() ? std::string() : found->second.value;
  }

  /// Keeps a copy of the present state for `return_from_copy`.
  void keep_copy()
  {
    copied_items_ = items_;
    copied_history_ = history_;
    copied_revision_ = revision_;
  }

  /// The store has come back from the copy, in a new era.
  void return_from_copy()
  {
    items_ = copied_items_;
    history_ = copied_history_;
    revision_ = copied_revision_;
    ++era_;
  }

  std::optional<http_server::response> answer(const std::string& target, clock_type::time_point arrived)
  {
    auto result = find(target, arrived);
    if (result) {
      result->header = "Store-Era: " + std::to_string(era_);
    }
    return result;
  }

private:
  std::optional<http_server::response> find(const std::string& target, clock_type::time_point arrived) const
  {
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/kv-range") {
      return http_server::response{ 200, range(query(target, "prefix"), query(target, "after")) };
    }
    if (path == "/kv-watch") {
      return watch(query(target, "prefix"),
                   std::strtoull(query(target, "after").c_str(), nullptr, 10),
                   std::chrono::milliseconds(std::strtoll(query(target, "wait-ms").c_str(), nullptr, 10)),
                   arrived);
    }
    if (path == "/kv-key") {
      const auto found = items_.find(query(target, "key"));
      return found == items_.end()
               ? http_server::response{ 404, "{}" }
               : http_server::response{ 200, item(found->first, found->second, ",\"current-rev\":" + now()) };
    }
    return http_server::response{ 404, "{}" };
  }

  struct entry
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };

  struct change
  {
    std::string key;
    std::uint64_t revision = 0;
    bool gone = false;
    std::string value;
    std::uint64_t created = 0;
  };

  static std::string query(const std::string& target, const std::string& name)
  {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = std::min(target.find('&', at + 1), target.size());
      const std::string part = target.substr(at + 1, end - at - 1);
      if (part.compare(0, name.size() + 1, name + "=") == 0) {
        return part.substr(name.size() + 1);
      }
      at = end == target.size() ? std::string::npos : end;
    }
    return {};
  }

  std::string now() const { return std::to_string(revision_); }

  static std::string item(const std::string& key, const entry& content, const std::string& rest)
  {
    return R"({"key":")" + key + R"(","value":")" + base64(content.value) + R"(","revision":)" +
           std::to_string(content.revision) + R"(,"created-rev":)" + std::to_string(content.created) + R"(,"lease":0)" +
           rest + "}";
  }

  std::string range(const std::string& prefix, const std::string& after) const
  {
    constexpr std::size_t most_items = 500;
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto at = items_.upper_bound(after); at != items_.end(); ++at) {
      if (at->first.compare(0, prefix.size(), prefix) != 0) {
        continue;
      }
      if (count++ == most_items) {
        more = true;
        break;
      }
      items += (items.empty() ? "" : ",") + item(at->first, at->second, "");
    }
    return "{\"items\":[" + items + "],\"has-more\":" + (more ? "true" : "false") + ",\"current-rev\":" + now() + "}";
  }

  std::optional<http_server::response> watch(const std::string& prefix,
                                             std::uint64_t after,
                                             std::chrono::milliseconds wait,
                                             clock_type::time_point arrived) const
  {
    if (after > revision_) {
      return http_server::response{ 410, "{}" };
    }
    std::string events;
    for (const change& one : history_) {
      if (one.revision <= after || one.key.compare(0, prefix.size(), prefix) != 0) {
        continue;
      }
      events += (events.empty() ? "" : ",") + (one.gone ? R"({"key":")" + one.key + R"(","revision":)" +
                                                            std::to_string(one.revision) + R"(,"is-gone":true})"
                                                        : item(one.key, { one.value, one.revision, one.created }, ""));
    }
    if (events.empty() && clock_type::now() - arrived < wait) {
      return std::nullopt;
    }
    return http_server::response{ 200, "{\"events\":[" + events + "],\"current-rev\":" + now() + "}" };
  }

  std::map<std::string, entry> items_;
  std::deque<change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 1;
  std::map<std::string, entry> copied_items_;
  std::deque<change> copied_history_;
  std::uint64_t copied_revision_ = 1;
};

class world;

/// A host: takes flows that name it, and answers each request after its work.
class host
{
public:
  struct opening
  {
    flow_name flow;
    double sent = 0;    ///< When the client sent this opening packet.
    double arrived = 0; ///< When the host took it.
    bool cold = false;
  };

  host(world& where, std::string service, std::string zone, std::uint64_t tag, std::uint32_t address, int slots);

  void advance();

  /// Writes the entry in the store: the host has started, or its state has changed.
  void publish();

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  std::uint32_t address() const { return address_; }

  /// The host starts during traffic and is cold for this long.
  void start_cold(double seconds);
  bool is_cold() const;

  bool draining = false;
  bool reaches_store = true; ///< False: it is partitioned from the store, and its entry expires.
  double work_s = 0.005;
  /// Opening packets in one second that the host bears while it is cold; beyond that it falls over and loses its work.
  std::optional<double> cold_limit;
  std::vector<opening> openings;
  std::size_t runs = 0;
  std::size_t lost = 0;    ///< Requests that it had begun when it fell over.
  std::size_t altered = 0; ///< Packets that differ from what a client sent.

private:
  struct flow_state
  {
    std::uint32_t sequence = 0;
    std::uint32_t expected = 0;
    bool open = false;
    std::uint32_t echo = 0;
  };
  struct answer
  {
    double at = 0;
    flow_name flow;
    std::string body;
  };

  void take(const packet& one);
  void send(const flow_name& flow, const flow_state& state, std::uint8_t flags, const std::string& data);
  bool bears_one_more() const;
  void fall_over();

  world& world_;
  std::string service_;
  std::string zone_;
  std::uint64_t tag_;
  std::string id_;
  std::uint32_t address_;
  int slots_;
  std::int64_t born_ = 0;
  std::uint64_t entry_sequence_ = 0;
  double cold_until_ = -1;
  double cold_for_ = 0;
  double last_beat_ = 0;
  double next_beat_ = 0;
  std::string entry_;                ///< As it wrote it last.
  std::optional<double> down_until_; ///< Set while it has fallen over.
  descriptor packets_;
  std::unique_ptr<http_server> health_;
  std::map<flow_name, flow_state> flows_;
  std::vector<answer> answers_;
};

/// The clients of one zone. Each attempt opens a flow, sends one request and waits for its answer.
class client
{
public:
  struct attempt
  {
    flow_name flow;
    double started = 0;
    double ended = 0;
    std::string outcome; ///< Empty while it goes on.
    int copies = 0;
    std::vector<double> sent; ///< When the first packet and its copies were sent.
    std::uint32_t sequence = 0;
    std::uint32_t echo = 0;
    std::uint32_t host_sequence = 0;
    bool open = false;
    std::string id;
  };

  client(world& where, std::string zone, std::uint32_t address);

  void advance();
  void start_attempt(std::uint32_t route, std::uint16_t route_port);

  const std::string& zone() const { return zone_; }

  double rate = 0; ///< Attempts per second.
  std::uint32_t route = 0;
  std::uint16_t route_port = 0;
  std::map<flow_name, attempt> attempts;
  std::size_t altered = 0;

private:
  void send(attempt& one,
            std::uint8_t flags,
            std::uint32_t sequence,
            std::uint32_t acknowledged,
            const std::string& data);
  void take(const packet& one);

  world& world_;
  std::string zone_;
  std::uint32_t address_;
  descriptor packets_;
  std::uint16_t next_port_ = 10000;
  double owed_ = 0;
  double counted_ = 0;
  std::deque<flow_name> running_;
};

/// A daemon: a process of the deploy file's program, and the routers' view of it.
class daemon_process
{
public:
  daemon_process(world& where, std::string name, std::string zone, std::uint32_t address, std::uint32_t store_address);
  ~daemon_process();

  void start();
  void kill();

  /// SIGTERM; it is started again shortly after its end.
  void restart();
  bool running() const { return process_ > 0; }
  bool in_rotation() const { return running() && misses_ < 2; }
  void advance();

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  std::uint32_t address() const { return address_; }
  std::uint32_t store_address() const { return store_address_; }
  bool ended_by_itself = false;

private:
  void probe();

  bool end_expected_ = false;

  world& world_;
  std::string name_;
  std::string zone_;
  std::uint32_t address_;
  std::uint32_t store_address_;
  pid_t process_ = -1;
  int misses_ = 2;
  double next_probe_ = 0;
  double probe_deadline_ = 0;
  descriptor probe_;
  bool probe_sent_ = false;
  std::string probe_answer_;
};

struct world_options
{
  std::vector<std::string> zones = { "almaty-a", "almaty-b", "almaty-c" };
  std::vector<int> daemons = { 3, 2, 2 }; ///< Of each zone.
  int heartbeat_ms = 770;
};

class world
{
public:
  explicit world(const world_options& options)
    : options_(options)
    , started_(clock_type::now())
  {
    const char* given = std::getenv("RECORD");
    record_.open(given != nullptr ? given : "record.txt");
    char pattern[] = "/tmp/review-XXXXXX";
    directory_ = ::mkdtemp(pattern);
    choose_network();
    for (std::size_t zone = 0; zone < options.zones.size(); ++zone) {
      for (int number = 1; number <= options.daemons[zone]; ++number) {
        const auto index = static_cast<std::uint32_t>(daemons.size());
        const std::uint32_t own = address(static_cast<std::uint32_t>(zone) + 1, 10 + index);
        const std::uint32_t store_address = address(200, 10 + index);
        store_servers.push_back(std::make_unique<http_server>(
          store_address, store_port, [this](const std::string& target, clock_type::time_point arrived) {
            return records.answer(target, arrived);
          }));
        daemons.push_back(
          std::make_unique<daemon_process>(*this,
                                           "front-" + options.zones[zone] + "-" + std::to_string(number),
                                           options.zones[zone],
                                           own,
                                           store_address));
      }
      clients.push_back(
        std::make_unique<client>(*this, options.zones[zone], address(100, static_cast<std::uint32_t>(zone) + 1)));
    }
  }

  ~world()
  {
    daemons.clear();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(directory_, ignored);
    }
  }

  std::uint32_t address(std::uint32_t group, std::uint32_t number) const
  {
    return (127U << 24U) | (network_ << 16U) | (group << 8U) | number;
  }

  double now() const { return std::chrono::duration<double>(clock_type::now() - started_).count(); }

  void note(const std::string& text)
  {
    char when[32];
    std::snprintf(when, sizeof(when), "%9.3f ", now());
    record_ << when << text << "\n";
  }

  void at(double time, std::function<void()> action) { actions_.emplace(time, std::move(action)); }

  /// Starts the daemons as one: `seeds` name the first daemon of each zone.
  void start_daemons()
  {
    for (const auto& one : daemons) {
      one->start();
    }
  }

  std::string seeds() const
  {
    std::string result;
    for (const std::string& zone : options_.zones) {
      for (const auto& one : daemons) {
        if (one->zone() == zone) {
          result += (result.empty() ? "" : ",") + to_text(one->address()) + ":" + std::to_string(control_port);
          break;
        }
      }
    }
    return result;
  }

  host& add_host(const std::string& service, const std::string& zone, int slots = 4)
  {
    ++host_count_;
    hosts.push_back(std::make_unique<host>(
      *this, service, zone, 0x18ca000000ULL + host_count_ * 0x1f3dULL, address(64, 10 + host_count_), slots));
    return *hosts.back();
  }

  /// Passes a client's packet to a daemon of its zone.
  void route(const std::string& zone, const packet& one)
  {
    std::vector<daemon_process*> candidates;
    std::vector<daemon_process*> all;
    for (const auto& daemon : daemons) {
      if (daemon->zone() == zone) {
        all.push_back(daemon.get());
        if (daemon->in_rotation()) {
          candidates.push_back(daemon.get());
        }
      }
    }
    if (candidates.size() * 2 < all.size()) {
      candidates = candidates.empty() ? candidates : all;
    }
    if (candidates.empty()) {
      for (const auto& daemon : daemons) {
        if (daemon->in_rotation()) {
          candidates.push_back(daemon.get());
        }
      }
    }
    if (candidates.empty()) {
      return;
    }
    std::uint64_t hash = one.source * 0x9e3779b97f4a7c15ULL ^ (one.source_port * 0xc2b2ae3d27d4eb4fULL) ^
                         (static_cast<std::uint64_t>(one.destination) << 16U) ^ one.destination_port;
    hash = (hash ^ (hash >> 31U)) * 0xbf58476d1ce4e5b9ULL;
    daemon_process& chosen = *candidates[(hash >> 33U) % candidates.size()];
    const sockaddr_in to = socket_address(chosen.address(), packet_port);
    const std::string bytes = one.bytes();
    ::sendto(router_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  /// When the client sent the newest copy of the first packet with this number of copies before.
  double opening_sent(const flow_name& flow, std::uint32_t copy) const
  {
    for (const auto& one : clients) {
      const auto found = one->attempts.find(flow);
      if (found != one->attempts.end() && copy < found->second.sent.size()) {
        return found->second.sent[copy];
      }
    }
    return now();
  }

  void run_until(double end)
  {
    while (now() < end) {
      while (!actions_.empty() && actions_.begin()->first <= now()) {
        const auto action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
      }
      for (const auto& one : store_servers) {
        one->advance();
      }
      for (const auto& one : hosts) {
        one->advance();
      }
      for (const auto& one : clients) {
        one->advance();
      }
      for (const auto& one : daemons) {
        one->advance();
      }
      ::usleep(500);
    }
  }

  /// Writes a record of all attempts and of what the hosts took.
  void write_accounts()
  {
    for (const auto& one : clients) {
      std::map<std::string, std::size_t> outcomes;
      for (const auto& [flow, attempt] : one->attempts) {
        ++outcomes[attempt.outcome.empty() ? "unfinished" : attempt.outcome];
        char text[160];
        std::snprintf(text,
                      sizeof(text),
                      "client %s %s port %u sent %.3f ended %.3f %s",
                      one->zone().c_str(),
                      attempt.id.c_str(),
                      flow.client_port,
                      attempt.started,
                      attempt.ended,
                      attempt.outcome.c_str());
        record_ << text << "\n";
      }
      for (const auto& [outcome, count] : outcomes) {
        note("clients of " + one->zone() + ": " + std::to_string(count) + " attempts " + outcome);
      }
      if (one->altered > 0) {
        note("clients of " + one->zone() + ": altered packets " + std::to_string(one->altered));
      }
    }
    for (const auto& one : hosts) {
      for (const host::opening& opening : one->openings) {
        char text[160];
        std::snprintf(text,
                      sizeof(text),
                      "host %s took port %u sent %.3f arrived %.3f%s",
                      one->id().c_str(),
                      opening.flow.client_port,
                      opening.sent,
                      opening.arrived,
                      opening.cold ? " cold" : "");
        record_ << text << "\n";
      }
      note("host " + one->id() + " of " + one->service() + ": took " + std::to_string(one->openings.size()) +
           " opening packets, began " + std::to_string(one->runs) + " requests, lost " + std::to_string(one->lost));
    }
  }

  const std::string& directory() const { return directory_; }
  const world_options& options() const { return options_; }

  store records;
  std::vector<std::unique_ptr<http_server>> store_servers; ///< One for each daemon, in the order of `daemons`.
  std::vector<std::unique_ptr<daemon_process>> daemons;
  std::vector<std::unique_ptr<host>> hosts;
  std::vector<std::unique_ptr<client>> clients;

private:
  void choose_network()
  {
    for (std::uint32_t tried = 0; tried < 150; ++tried) {
      network_ = 60 + (static_cast<std::uint32_t>(::getpid()) + tried) % 150;
      router_ = bound_socket(SOCK_DGRAM, address(250, 1), packet_port);
      if (router_.open()) {
        return;
      }
    }
    throw cannot_run("no free loopback addresses");
  }

  world_options options_;
  clock_type::time_point started_;
  std::ofstream record_;
  std::string directory_;
  std::uint32_t network_ = 0;
  descriptor router_;
  std::uint32_t host_count_ = 0;
  std::multimap<double, std::function<void()>> actions_;
};

inline std::int64_t
unix_ms()
{
  const auto time = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

inline host::host(world& where,
                  std::string service,
                  std::string zone,
                  std::uint64_t tag,
                  std::uint32_t address,
                  int slots)
  : world_(where)
  , service_(std::move(service))
  , zone_(std::move(zone))
  , tag_(tag)
  , address_(address)
  , slots_(slots)
  , packets_(bound_socket(SOCK_DGRAM, address, host_port))
{
  char text[32];
  std::snprintf(text, sizeof(text), "i-%llx", static_cast<unsigned long long>(tag));
  id_ = text;
  born_ = unix_ms();
  if (!packets_.open()) {
    throw cannot_run("cannot bind a host's address");
  }
  health_ = std::make_unique<http_server>(address, host_port, [this](const std::string&, clock_type::time_point) {
    return std::optional(http_server::response{ draining ? 503 : 200, "{}" });
  });
}

inline void
host::start_cold(double seconds)
{
  cold_for_ = seconds;
  cold_until_ = world_.now() + seconds;
  publish();
}

inline bool
host::is_cold() const
{
  return world_.now() < cold_until_;
}

inline void
host::publish()
{
  last_beat_ = world_.now();
  next_beat_ = last_beat_ + world_.options().heartbeat_ms / 1000.0;
  const auto left = static_cast<long>(std::max(cold_until_ - world_.now(), 0.0) * 1000);
  entry_ = R"({"service":")" + service_ + R"(","address":")" + to_text(address_) + ":" + std::to_string(host_port) +
           R"(","zone":")" + zone_ + R"(","version":"v1","slots":)" + std::to_string(slots_) + R"(,"state":")" +
           (draining ? "draining" : "ready") + R"(","warmup-left-ms":)" + std::to_string(left) + R"(,"seq":)" +
           std::to_string(++entry_sequence_) + R"(,"born":)" + std::to_string(born_) + "}";
  world_.records.put("servers/" + id_, entry_);
}

inline void
host::advance()
{
  const double time = world_.now();
  if (down_until_ && time < *down_until_) {
    char ignored[4096];
    while (::recv(packets_.get(), ignored, sizeof(ignored), 0) >= 0) {
    }
    return;
  }
  if (down_until_) {
    down_until_.reset();
    born_ = unix_ms();
    entry_sequence_ = 0;
    world_.note("host " + id_ + " starts again");
    start_cold(cold_for_);
  }
  health_->advance();
  const bool exists = world_.records.has("servers/" + id_);
  if (reaches_store) {
    // The entry changes when more than the sequence changes.
    if (exists && cold_until_ > 0 && time >= cold_until_) {
      cold_until_ = -1;
      publish();
    }
    last_beat_ = exists ? time : last_beat_;
    if (exists && time >= next_beat_) {
      next_beat_ = time + world_.options().heartbeat_ms / 1000.0;
      if (world_.records.value("servers/" + id_) != entry_) {
        publish(); // Another writer has replaced it.
      }
    }
  } else if (exists && time - last_beat_ > 3 * world_.options().heartbeat_ms / 1000.0) {
    world_.records.remove("servers/" + id_);
    world_.note("the store removes the entry of host " + id_);
  }
  char buffer[4096];
  while (true) {
    const ssize_t size = ::recv(packets_.get(), buffer, sizeof(buffer), 0);
    if (size < 8) {
      break;
    }
    std::uint64_t wanted = 0;
    for (int index = 0; index < 8; ++index) {
      wanted = (wanted << 8U) | static_cast<std::uint8_t>(buffer[index]);
    }
    bool intact = false;
    const auto one = packet::read(buffer + 8, static_cast<std::size_t>(size) - 8, intact);
    if (!one || !intact) {
      ++altered;
      continue;
    }
    if (wanted == 0 || wanted == tag_) {
      take(*one);
    }
  }
  std::erase_if(answers_, [this, time](const answer& one) {
    if (one.at > time) {
      return false;
    }
    const auto found = flows_.find(one.flow);
    if (found != flows_.end()) {
      send(one.flow, found->second, flag_ack, one.body);
      found->second.sequence += static_cast<std::uint32_t>(one.body.size());
    }
    return true;
  });
}

inline void
host::take(const packet& one)
{
  const flow_name name{ one.source, one.source_port, one.destination, one.destination_port };
  const double time = world_.now();
  if ((one.flags & flag_syn) != 0) {
    const auto [found, added] = flows_.try_emplace(name);
    if (added && !bears_one_more()) {
      openings.push_back({ name, world_.opening_sent(name, one.acknowledged), time, true });
      fall_over();
      return;
    }
    if (added) {
      found->second.sequence = static_cast<std::uint32_t>(time * 1e6);
      found->second.expected = one.sequence + 1;
      openings.push_back({ name, world_.opening_sent(name, one.acknowledged), time, is_cold() });
    }
    found->second.echo = one.echo;
    if (!found->second.open) {
      send(name, found->second, flag_syn | flag_ack, "");
    }
    return;
  }
  const auto found = flows_.find(name);
  if (found == flows_.end()) {
    flow_state none;
    none.sequence = one.acknowledged;
    none.echo = one.echo;
    send(name, none, flag_rst, "");
    return;
  }
  flow_state& state = found->second;
  state.echo = one.echo;
  if (!state.open) {
    if (one.acknowledged != state.sequence + 1) {
      return;
    }
    state.open = true;
    ++state.sequence;
  }
  if (!one.data.empty() && one.sequence == state.expected) {
    state.expected += static_cast<std::uint32_t>(one.data.size());
    ++runs;
    answers_.push_back({ time + work_s, name, "answer to " + one.data });
  }
  if ((one.flags & flag_fin) != 0) {
    send(name, state, flag_fin | flag_ack, "");
    flows_.erase(found);
  }
}

inline bool
host::bears_one_more() const
{
  if (!cold_limit || !is_cold()) {
    return true;
  }
  const double since = world_.now() - 1;
  const auto recent = std::count_if(
    openings.begin(), openings.end(), [since](const opening& one) { return one.cold && one.sent >= since; });
  return static_cast<double>(recent) + 1 <= *cold_limit;
}

inline void
host::fall_over()
{
  constexpr double restart_s = 1;
  const std::size_t running = answers_.size();
  lost += running;
  answers_.clear();
  flows_.clear();
  down_until_ = world_.now() + restart_s;
  world_.note("host " + id_ + " falls over, " + std::to_string(running) + " requests that it had begun are lost");
}

inline void
host::send(const flow_name& flow, const flow_state& state, std::uint8_t flags, const std::string& data)
{
  const packet one{ flow.route,     flow.route_port, flow.client, flow.client_port, state.echo, flags,
                    state.sequence, state.expected,  data };
  const sockaddr_in to = socket_address(flow.client, packet_port);
  const std::string bytes = one.bytes();
  ::sendto(packets_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

inline client::client(world& where, std::string zone, std::uint32_t address)
  : world_(where)
  , zone_(std::move(zone))
  , address_(address)
  , packets_(bound_socket(SOCK_DGRAM, address, packet_port))
{
  if (!packets_.open()) {
    throw cannot_run("cannot bind a client's address");
  }
}

inline void
client::start_attempt(std::uint32_t to, std::uint16_t port)
{
  const flow_name name{ address_, next_port_++, to, port };
  attempt& one = attempts[name];
  one.flow = name;
  one.started = world_.now();
  one.sequence = static_cast<std::uint32_t>(0x10000000U + attempts.size() * 7919U);
  one.id = zone_ + "-" + std::to_string(attempts.size());
  one.sent.push_back(one.started);
  send(one, flag_syn, one.sequence, 0, "");
  running_.push_back(name);
}

inline void
client::send(attempt& one,
             std::uint8_t flags,
             std::uint32_t sequence,
             std::uint32_t acknowledged,
             const std::string& data)
{
  world_.route(zone_,
               { one.flow.client,
                 one.flow.client_port,
                 one.flow.route,
                 one.flow.route_port,
                 one.echo,
                 flags,
                 sequence,
                 acknowledged,
                 data });
}

inline void
client::take(const packet& one)
{
  const auto found = attempts.find({ one.destination, one.destination_port, one.source, one.source_port });
  if (found == attempts.end() || !found->second.outcome.empty()) {
    return;
  }
  attempt& mine = found->second;
  if ((one.flags & flag_rst) != 0) {
    mine.outcome = mine.open ? "reset while open" : "reset before it was open";
    mine.ended = world_.now();
    return;
  }
  if ((one.flags & flag_syn) != 0) {
    if (mine.open) {
      return;
    }
    mine.open = true;
    mine.echo = one.echo;
    mine.host_sequence = one.sequence + 1;
    send(mine, flag_ack, mine.sequence + 1, mine.host_sequence, "request " + mine.id);
    return;
  }
  mine.echo = one.echo;
  if (one.data == "answer to request " + mine.id) {
    mine.host_sequence += static_cast<std::uint32_t>(one.data.size());
    mine.outcome = "answered";
    mine.ended = world_.now();
    const auto sent = static_cast<std::uint32_t>(("request " + mine.id).size());
    send(mine, flag_ack | flag_fin, mine.sequence + 1 + sent, mine.host_sequence, "");
  } else if (!one.data.empty()) {
    mine.outcome = "foreign answer";
    mine.ended = world_.now();
  }
}

inline void
client::advance()
{
  const double time = world_.now();
  owed_ = std::min(owed_ + rate * (time - counted_), 20.0);
  counted_ = time;
  while (owed_ >= 1) {
    owed_ -= 1;
    start_attempt(route, route_port);
  }
  char buffer[4096];
  while (true) {
    const ssize_t size = ::recv(packets_.get(), buffer, sizeof(buffer), 0);
    if (size < 0) {
      break;
    }
    bool intact = false;
    const auto one = packet::read(buffer, static_cast<std::size_t>(size), intact);
    // A reset of the system's own has no data and the sum 0.
    const bool own_reset = one && (one->flags & flag_rst) != 0 && one->data.empty();
    if (one && (intact || own_reset)) {
      take(*one);
    } else {
      ++altered;
    }
  }
  constexpr double copy_after[] = { 0.2, 0.6 };
  constexpr double opening_time = 1.4;
  constexpr double answer_time = 5;
  std::erase_if(running_, [this, time, &copy_after](const flow_name& name) {
    attempt& one = attempts.at(name);
    if (!one.outcome.empty()) {
      return true;
    }
    const double age = time - one.started;
    if (!one.open && one.copies < 2 && age >= copy_after[one.copies]) {
      ++one.copies;
      one.sent.push_back(time);
      send(one, flag_syn, one.sequence, static_cast<std::uint32_t>(one.copies), "");
    }
    if (age > (one.open ? answer_time : opening_time)) {
      one.outcome = one.open ? "no answer" : "not opened";
      one.ended = time;
      return true;
    }
    return false;
  });
}

inline daemon_process::daemon_process(world& where,
                                      std::string name,
                                      std::string zone,
                                      std::uint32_t address,
                                      std::uint32_t store_address)
  : world_(where)
  , name_(std::move(name))
  , zone_(std::move(zone))
  , address_(address)
  , store_address_(store_address)
{
}

inline daemon_process::~daemon_process()
{
  kill();
}

inline std::string
replace_all(std::string text, const std::string& from, const std::string& to)
{
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

inline void
daemon_process::start()
{
  std::ifstream file("platform/settings.template");
  std::stringstream content;
  content << file.rdbuf();
  std::string text = content.str();
  const std::string own = to_text(address_) + ":";
  const std::pair<std::string, std::string> values[] = {
    { "{{node-name}}", name_ },
    { "{{zone}}", zone_ },
    { "{{ip}}", to_text(address_) },
    { "{{listen.datagram-addr}}", own + std::to_string(packet_port) },
    { "{{listen.ready}}", own + std::to_string(ready_port) },
    { "{{listen.control}}", own + std::to_string(control_port) },
    { "{{seeds}}", world_.seeds() },
    { "{{platform.address}}", to_text(store_address_) + ":" + std::to_string(store_port) },
    { "{{heartbeat-ms}}", std::to_string(world_.options().heartbeat_ms) },
    { "{{bounds.flow-lifetime-s}}", "60" },
    { "{{bounds.grace-s}}", "6" },
    { "{{#limits.link-mbps}}", "" },
    { "{{/limits.link-mbps}}", "" },
    { "{{limits.link-mbps}}", "1000.0" },
  };
  for (const auto& [from, to] : values) {
    text = replace_all(text, from, to);
  }
  const std::string settings = world_.directory() + "/" + name_ + ".settings";
  std::ofstream(settings) << text;
  const std::string log = world_.directory() + "/" + name_ + ".log";
  const pid_t child = ::fork();
  if (child < 0) {
    throw cannot_run("cannot start a process");
  }
  if (child == 0) {
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, 1);
    ::dup2(output, 2);
    const std::string config = "COLTSFOOTLOCK_CONFIG=" + settings;
    const char* path = std::getenv("PATH");
    const std::string path_text = std::string("PATH=") + (path != nullptr ? path : "/usr/bin:/bin");
    std::vector<char*> environment = { const_cast<char*>(config.c_str()),
                                       const_cast<char*>(path_text.c_str()),
                                       nullptr };
    char program[] = "target/programs/coltsfootlockd/coltsfootlockd";
    char* arguments[] = { program, nullptr };
    ::execve(program, arguments, environment.data());
    ::_exit(127);
  }
  process_ = child;
  misses_ = 2;
  next_probe_ = 0;
  world_.note("daemon " + name_ + " started");
}

inline void
daemon_process::kill()
{
  if (process_ > 0) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = -1;
    probe_.reset();
  }
}

inline void
daemon_process::restart()
{
  if (process_ > 0) {
    end_expected_ = true;
    ::kill(process_, SIGTERM);
    world_.note("daemon " + name_ + " is stopped");
  }
}

inline void
daemon_process::advance()
{
  if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = -1;
    probe_.reset();
    if (end_expected_) {
      constexpr double restart_s = 0.3;
      world_.at(world_.now() + restart_s, [this] { start(); });
    } else {
      ended_by_itself = true;
      world_.note("daemon " + name_ + " ended by itself");
    }
    end_expected_ = false;
  }
  probe();
}

/// GET /ready twice per second; two misses take the daemon out of rotation.
inline void
daemon_process::probe()
{
  const double time = world_.now();
  if (!probe_.open()) {
    if (time < next_probe_) {
      return;
    }
    next_probe_ = time + 0.5;
    probe_deadline_ = time + 0.45;
    probe_answer_.clear();
    probe_sent_ = false;
    probe_ = descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in to = socket_address(address_, ready_port);
    if (::connect(probe_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 && errno != EINPROGRESS) {
      ++misses_;
      probe_.reset();
      return;
    }
  }
  if (!probe_sent_) {
    const std::string request = "GET /ready HTTP/1.1\r\nHost: " + to_text(address_) + "\r\nConnection: close\r\n\r\n";
    probe_sent_ = ::send(probe_.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0;
  }
  char buffer[1024];
  const ssize_t size = ::recv(probe_.get(), buffer, sizeof(buffer), 0);
  if (size > 0) {
    probe_answer_.append(buffer, static_cast<std::size_t>(size));
  }
  const bool failed = size < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINTR;
  if (probe_answer_.find("\r\n") != std::string::npos) {
    misses_ = probe_answer_.find(" 200 ") < probe_answer_.find("\r\n") ? 0 : misses_ + 1;
    probe_.reset();
  } else if (size == 0 || failed || time > probe_deadline_) {
    ++misses_;
    probe_.reset();
  }
}

/// A manifest with the given routes and services, both as JSON lists without brackets.
inline std::string
manifest(std::uint64_t version, const std::string& routes, const std::string& services)
{
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" + services +
         R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)" +
         R"("idle-timeout-ms":15000}})";
}

inline std::string
route_entry(const std::string& name,
            const std::string& address,
            std::uint16_t port,
            const std::string& kind,
            const std::string& service)
{
  return R"({"name":")" + name + R"(","host":")" + address + R"(","prefix":"/)" + std::to_string(port) +
         R"(/","kind":")" + kind + R"(","timeout-ms":5000,"latency-goal-ms":300,"priority":1,"service":")" + service +
         R"(","max-attempts":2})";
}

inline std::string
service_entry(const std::string& name, double warmup_s, double warmup_per_s)
{
  return R"({"name":")" + name + R"(","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,)" +
         R"("warmup-s":)" + std::to_string(warmup_s) + R"(,"warmup-per-s":)" + std::to_string(warmup_per_s) + "}";
}

/// True unless TROUBLE=0 is set.
inline bool
with_trouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
inline int
run_case(const std::function<bool()>& rule_held)
{
  ::signal(SIGPIPE, SIG_IGN);
  try {
    return rule_held() ? 0 : 1;
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "cannot run: %s\n", problem.what());
    return 2;
  }
}

}
