#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;

/// The platform's store of PROTOCOL.md: items with revisions, pages of up to about 1 MB, watches with a history of 20
/// s. Each connection is served by a thread of its own.
class store
{
public:
  /// Listens on `address`:`port`. Throws if it cannot.
  store(std::string address, std::uint16_t port);
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  std::string address() const;
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

  void accept_all();
  void serve(int connection);
  std::string respond(const std::string& target);
  std::string list(const std::map<std::string, std::string>& query);
  std::string watch(const std::map<std::string, std::string>& query);
  void add_change(change added);

  std::string address_;
  std::uint16_t port_;
  int listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::deque<change> history_;
  std::uint64_t history_from_ = 1;
  std::uint64_t revision_ = 1;
};

}
