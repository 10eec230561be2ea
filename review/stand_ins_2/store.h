// The platform's store: items, ranges and watches over HTTP, as PROTOCOL.md describes them.
#pragma once

#include "event_loop.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

class store
{
public:
  store(event_loop& loop, std::uint32_t address, std::uint16_t port);

  /// Writes an item; the time of the acknowledgement is the time of the call.
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);

  /// True if the item is there with this value.
  bool has(const std::string& key, const std::string& value) const;

private:
  struct item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };

  struct change
  {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<item> content; ///< Empty if the item was removed.
  };

  struct connection
  {
    std::string received;
    bool watches = false;
    std::string prefix;
    std::uint64_t after = 0;
    std::int64_t deadline = 0;
  };

  void accept_all();
  void read(int descriptor);
  void handle(int descriptor, const std::string& target);
  void answer(int descriptor, int status, const std::string& body);
  void answer_watches();
  std::string events_after(const std::string& prefix, std::uint64_t after) const;
  std::string range(const std::string& prefix, const std::string& after) const;
  void end(int descriptor);

  event_loop& loop_;
  int listener_;
  std::map<int, connection> connections_;
  std::map<std::string, item> items_;
  std::vector<change> changes_;
  std::uint64_t revision_ = 100;
};

}
