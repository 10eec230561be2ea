#include "fleet.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>
#include <utility>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t probe_interval_ms = 500;
constexpr std::int64_t probe_timeout_ms = 400;
constexpr int misses_out_of_rotation = 2;
constexpr std::int64_t watch_interval_ms = 50;
constexpr std::int64_t restart_delay_ms = 500;

/// Replaces `{{name}}`; a section `{{#name}} .. {{/name}}` is kept without its marks.
std::string
fill_in(std::string text, const std::map<std::string, std::string>& values)
{
  for (const auto& [name, value] : values) {
    for (const auto& [mark, content] : { std::pair("{{" + name + "}}", value),
                                         std::pair("{{#" + name + "}}", std::string()),
                                         std::pair("{{/" + name + "}}", std::string()) }) {
      for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at)) {
        text.replace(at, mark.size(), content);
        at += content.size();
      }
    }
  }
  return text;
}

std::string
read_file(const std::string& path)
{
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}

fleet::fleet(event_loop& loop, fleet_settings settings)
  : loop_(loop)
  , settings_(std::move(settings))
{
  for (std::size_t zone = 0; zone < settings_.daemons_per_zone.size(); ++zone) {
    for (std::size_t number = 1; number <= settings_.daemons_per_zone[zone]; ++number) {
      machine one;
      one.name = "front-" + zone_name(zone) + "-" + std::to_string(number);
      one.zone = zone;
      one.address = address(static_cast<std::uint32_t>(1 + zone), static_cast<std::uint32_t>(number));
      machines_.push_back(one);
    }
  }
}

fleet::~fleet()
{
  for (const machine& one : machines_) {
    if (one.process > 0) {
      ::kill(one.process, SIGKILL);
      waitpid(one.process, nullptr, 0);
    }
  }
}

std::uint32_t
fleet::address(std::uint32_t part, std::uint32_t last) const
{
  return 127U << 24U | settings_.network << 16U | part << 8U | last;
}

std::string
fleet::settings_text(const machine& one) const
{
  const auto endpoint = [&](std::uint32_t address, unsigned offset) {
    return address_text(address) + ":" + std::to_string(settings_.first_port + offset);
  };
  std::string seeds;
  std::vector<std::size_t> seen;
  for (const machine& other : machines_) {
    if (std::count(seen.begin(), seen.end(), other.zone) == 0 && seen.size() < 3) {
      seen.push_back(other.zone);
      const std::uint32_t seed =
        settings_.stale_seeds ? address(251, static_cast<std::uint32_t>(seen.size())) : other.address;
      seeds += (seeds.empty() ? "" : ",") + endpoint(seed, 2);
    }
  }
  std::map<std::string, std::string> values{ { "node-name", one.name },
                                             { "zone", zone_name(one.zone) },
                                             { "ip", address_text(one.address) },
                                             { "listen.datagram-addr", endpoint(one.address, 0) },
                                             { "listen.ready", endpoint(one.address, 1) },
                                             { "listen.control", endpoint(one.address, 2) },
                                             { "seeds", seeds },
                                             { "platform.address", endpoint(store_address(), 3) },
                                             { "heartbeat-ms", std::to_string(settings_.heartbeat_ms) },
                                             { "bounds.flow-lifetime-s", "60" },
                                             { "limits.link-mbps", "1000.0" },
                                             { "bounds.grace-s", "6" } };
  for (const auto& [name, value] : one.changed_settings) {
    values[name] = value;
  }
  return fill_in(read_file(settings_.settings_template), values);
}

void
fleet::start_all()
{
  watch_processes();
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    start(machines_[index]);
    loop_.after(static_cast<std::int64_t>(20 * index), [this, index] { probe(index); });
  }
}

void
fleet::start(machine& one)
{
  const std::string path = settings_.directory + "/" + one.name + ".conf";
  std::ofstream(path) << settings_text(one);
  one.misses = misses_out_of_rotation;
  one.process = fork();
  if (one.process != 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the stand-ins.
  const int log = open((settings_.directory + "/" + one.name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  setenv("COLTSFOOTLOCK_CONFIG", path.c_str(), 1);
  std::istringstream words(settings_.program);
  std::vector<std::string> arguments;
  for (std::string word; words >> word;) {
    arguments.push_back(word);
  }
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& word : arguments) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  execv(pointers[0], pointers.data());
  _exit(127);
}

void
fleet::change_setting(machine& one, const std::string& name, const std::string& value)
{
  one.changed_settings[name] = value;
  std::ofstream(settings_.directory + "/" + one.name + ".conf") << settings_text(one);
  ::kill(one.process, SIGHUP);
}

void
fleet::stop(machine& one, std::int64_t grace_ms)
{
  one.stopping = true;
  ::kill(one.process, SIGTERM);
  loop_.after(grace_ms, [&one, process = one.process] {
    if (one.process == process) {
      ::kill(process, SIGKILL);
    }
  });
}

/// A process that ends is started again after a short delay.
void
fleet::watch_processes()
{
  loop_.after(watch_interval_ms, [this] { watch_processes(); });
  for (machine& one : machines_) {
    if (one.process <= 0 || waitpid(one.process, nullptr, WNOHANG) != one.process) {
      continue;
    }
    one.process = 0;
    if (!one.stopping) {
      one.own_ends.push_back(now_ms());
    }
    one.stopping = false;
    loop_.after(restart_delay_ms, [this, &one] { start(one); });
  }
}

std::size_t
fleet::ready() const
{
  return static_cast<std::size_t>(std::count_if(
    machines_.begin(), machines_.end(), [](const machine& one) { return one.misses < misses_out_of_rotation; }));
}

void
fleet::probe(std::size_t index)
{
  machine& one = machines_[index];
  loop_.after(probe_interval_ms, [this, index] { probe(index); });
  const int socket = connect_tcp(one.address, static_cast<std::uint16_t>(settings_.first_port + 1));
  if (socket < 0) {
    ++one.misses;
    return;
  }
  const auto done = std::make_shared<bool>(false);
  const auto finish = [this, &one, socket, done](bool good) {
    if (!*done) {
      *done = true;
      one.misses = good ? 0 : one.misses + 1;
      loop_.forget(socket);
      close(socket);
    }
  };
  loop_.watch(
    socket,
    [this, socket, finish] {
      static const std::string request = "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
      if (send(socket, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        finish(false);
        return;
      }
      loop_.watch(socket, [socket, finish] {
        std::array<char, 512> buffer{};
        const ssize_t size = recv(socket, buffer.data(), buffer.size(), 0);
        finish(size > 12 && std::string(buffer.data(), 12) == "HTTP/1.1 200");
      });
    },
    true);
  loop_.after(probe_timeout_ms, [finish] { finish(false); });
}

void
fleet::forward(std::size_t zone, int socket, const packet& one)
{
  std::vector<const machine*> all;
  std::vector<const machine*> others;
  std::vector<const machine*> in_rotation;
  for (const machine& candidate : machines_) {
    if (candidate.zone != zone) {
      others.push_back(&candidate);
    }
    if (candidate.zone == zone) {
      all.push_back(&candidate);
      if (candidate.misses < misses_out_of_rotation) {
        in_rotation.push_back(&candidate);
      }
    }
  }
  if (in_rotation.empty()) { // The daemons of other zones.
    std::copy_if(others.begin(), others.end(), std::back_inserter(in_rotation), [](const machine* other) {
      return other->misses < misses_out_of_rotation;
    });
    all = in_rotation.empty() ? all : in_rotation;
  }
  const auto& used = in_rotation.size() * 2 < all.size() ? all : in_rotation;
  std::uint64_t hash = one.source;
  hash = hash * 1000003U + one.source_port;
  hash = hash * 1000003U + one.destination;
  hash = hash * 1000003U + one.destination_port;
  hash ^= hash >> 17U;
  const machine& chosen = *used[hash % used.size()];
  send_datagram(socket, chosen.address, datagram_port(), to_bytes(one));
}

}
