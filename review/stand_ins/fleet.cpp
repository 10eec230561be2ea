#include "fleet.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::chrono::milliseconds restart_delay{ 500 };
constexpr std::chrono::milliseconds ready_interval{ 500 };
constexpr std::chrono::milliseconds supervision_interval{ 50 };
constexpr int misses_before_removal = 2;

}

std::string
fill_in(std::string text, const settings& values)
{
  std::size_t begin = 0;
  while ((begin = text.find("{{", begin)) != std::string::npos) {
    const std::size_t end = text.find("}}", begin);
    const std::string name = text.substr(begin + 2, end - begin - 2);
    const bool is_section = name.starts_with("#") || name.starts_with("/"); // All values of the template are present.
    const auto found = values.find(name);
    text.replace(begin, end + 2 - begin, is_section || found == values.end() ? "" : found->second);
  }
  return text;
}

fleet::fleet(plan wanted, record_file& record)
  : plan_(std::move(wanted))
  , record_(record)
{
  for (std::size_t index = 0; index < plan_.machines.size(); ++index) {
    state_.push_back(std::make_unique<daemon_state>());
  }
}

fleet::~fleet()
{
  stopping_ = true;
  if (supervisor_.joinable()) {
    supervisor_.join();
  }
  for (const auto& state : state_) {
    if (state->id > 0) {
      ::kill(state->id, SIGKILL);
      ::waitpid(state->id, nullptr, 0);
    }
  }
}

void
fleet::write_settings(const machine& where) const
{
  settings values = plan_.common;
  values["platform.address"] = where.store_address;
  const auto at = [&where](std::uint16_t port) { return where.ip + ":" + std::to_string(port); };
  values["node-name"] = where.name;
  values["zone"] = where.zone;
  values["ip"] = where.ip;
  values["listen.datagram-addr"] = at(plan_.used_ports.datagram);
  values["listen.ready"] = at(plan_.used_ports.ready);
  values["listen.control"] = at(plan_.used_ports.control);
  const std::string path = plan_.directory + "/" + where.name + ".settings";
  const std::string next = path + ".next";
  std::ofstream(next) << fill_in(plan_.settings_template, values);
  ::rename(next.c_str(), path.c_str());
}

void
fleet::change_settings(const std::string& name, const std::string& value)
{
  plan_.common[name] = value;
  for (const machine& where : plan_.machines) {
    write_settings(where);
  }
  record_.line("settings changed: " + name + " = " + value);
}

void
fleet::start_daemon(std::size_t index)
{
  const machine& where = plan_.machines[index];
  const std::string settings_path = plan_.directory + "/" + where.name + ".settings";
  const std::string log_path = plan_.directory + "/" + where.name + ".log";
  std::vector<std::string> words;
  std::istringstream command(plan_.command);
  for (std::string word; command >> word;) {
    words.push_back(word);
  }
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const char* search_path = std::getenv("PATH");
  std::string path_variable = std::string("PATH=") + (search_path != nullptr ? search_path : "/usr/bin:/bin");
  std::string settings_variable = "COLTSFOOTLOCK_CONFIG=" + settings_path;
  std::array<char*, 3> environment{ path_variable.data(), settings_variable.data(), nullptr };
  const pid_t id = ::fork();
  if (id == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // If this process is killed itself.
    const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execve(arguments[0], arguments.data(), environment.data());
    ::_exit(127);
  }
  state_[index]->id = id;
  ++state_[index]->starts;
  record_.line("started " + where.name);
}

void
fleet::start()
{
  for (const machine& where : plan_.machines) {
    write_settings(where);
  }
  for (std::size_t index = 0; index < plan_.machines.size(); ++index) {
    start_daemon(index);
  }
  supervisor_ = std::thread([this] { supervise(); });
}

void
fleet::signal(std::size_t index, int number)
{
  record_.line("signal " + std::to_string(number) + " to " + plan_.machines[index].name);
  if (state_[index]->id > 0) {
    ::kill(state_[index]->id, number);
  }
}

bool
fleet::ask_ready(const machine& where) const
{
  const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(plan_.used_ports.ready);
  ::inet_pton(AF_INET, where.ip.c_str(), &address.sin_addr);
  const timeval limit{ 0, 200 * 1000 };
  ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  bool ready = false;
  if (::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    const std::string request = "GET /ready HTTP/1.1\r\nHost: " + where.ip + "\r\nConnection: close\r\n\r\n";
    std::array<char, 64> answer{};
    ready = ::send(connection, request.data(), request.size(), MSG_NOSIGNAL) > 0 &&
            ::recv(connection, answer.data(), answer.size(), 0) >= 12 && std::string(answer.data() + 9, 3) == "200";
  }
  ::close(connection);
  return ready;
}

void
fleet::take_end(std::size_t index)
{
  daemon_state& state = *state_[index];
  int status = 0;
  if (state.id > 0 && ::waitpid(state.id, &status, WNOHANG) == state.id) {
    record_.line("ended " + plan_.machines[index].name +
                 (WIFEXITED(status) ? " with exit code " + std::to_string(WEXITSTATUS(status))
                                    : " by signal " + std::to_string(WTERMSIG(status))));
    state.id = 0;
    state.ended = true;
    state.ended_at = std::chrono::steady_clock::now();
  }
  if (state.ended && std::chrono::steady_clock::now() - state.ended_at > restart_delay) {
    state.ended = false;
    start_daemon(index);
  }
}

void
fleet::check_memory(std::size_t index)
{
  daemon_state& state = *state_[index];
  if (plan_.memory_limit_bytes == 0 || state.id <= 0) {
    return;
  }
  std::ifstream file("/proc/" + std::to_string(state.id) + "/statm");
  std::uint64_t all = 0;
  std::uint64_t resident = 0;
  file >> all >> resident;
  const std::uint64_t bytes = resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
  peak_memory_ = std::max<std::uint64_t>(peak_memory_, bytes);
  if (bytes > plan_.memory_limit_bytes) {
    record_.line(plan_.machines[index].name + " uses " + std::to_string(bytes / 1000000) +
                 " MB, more than memory-mb, and is killed");
    ++memory_kills_;
    ::kill(state.id, SIGKILL);
  }
}

void
fleet::supervise()
{
  auto next_question = std::chrono::steady_clock::now();
  while (!stopping_) {
    const bool asks = std::chrono::steady_clock::now() >= next_question;
    for (std::size_t index = 0; index < state_.size(); ++index) {
      take_end(index);
      check_memory(index);
      if (asks) {
        daemon_state& state = *state_[index];
        const bool ready = ask_ready(plan_.machines[index]);
        state.misses = ready ? 0 : state.misses + 1;
        state.ready = ready || (state.ready && state.misses < misses_before_removal);
      }
    }
    if (asks) {
      next_question += ready_interval;
    }
    std::this_thread::sleep_for(supervision_interval);
  }
}

bool
fleet::all_ready() const
{
  for (const auto& state : state_) {
    if (!state->ready) {
      return false;
    }
  }
  return true;
}

std::vector<std::size_t>
fleet::rotation(const std::string& zone) const
{
  std::vector<std::size_t> all;
  std::vector<std::size_t> ready;
  for (std::size_t index = 0; index < state_.size(); ++index) {
    if (plan_.machines[index].zone == zone) {
      all.push_back(index);
      if (state_[index]->ready) {
        ready.push_back(index);
      }
    }
  }
  return 2 * ready.size() < all.size() ? all : ready;
}

}
