#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

/// The platform's store of PROTOCOL.md: items with revisions, pages of up to about 1 MB, watches with a history of 20
/// s. Each connection is served by a thread of its own.
class store
{
public:
  /// Listens on one address for each machine, so that a machine can be partitioned from the store. Throws if it cannot.
  store(const std::vector<std::string>& addresses, std::uint16_t port);
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  /// While a machine is partitioned, its calls get no answer.
  void partition(std::size_t machine, bool partitioned);
  /// Watches that a machine has requested so far.
  std::size_t watches(std::size_t machine) const { return lines_[machine]->watches; }
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);

private:
  struct item
  {
    std::string value; ///< Base64.
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct change
  {
    steady::time_point at;
    std::string key;
    item content;
    bool gone = false;
  };

  /// Where one machine reaches the store.
  struct line
  {
    int listener = -1;
    std::atomic<bool> partitioned{ false };
    std::atomic<std::size_t> watches{ 0 };
  };

  void accept_all(line& from);
  void serve(int connection, line& from);
  std::string respond(const std::string& target);
  std::string list(const std::map<std::string, std::string>& query);
  std::string watch(const std::map<std::string, std::string>& query);
  void add_change(change added);

  std::vector<std::unique_ptr<line>> lines_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::deque<change> history_;
  std::uint64_t history_from_ = 1;
  std::uint64_t revision_ = 1;
};

}
