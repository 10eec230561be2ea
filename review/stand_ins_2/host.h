// A host: accepts flows, works on requests and reports itself to the store, as PROTOCOL.md describes it.
#pragma once

#include "event_loop.h"
#include "packet.h"
#include "store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace review {

struct host_settings
{
  std::string id; ///< Ends in hexadecimal digits.
  std::string service;
  std::string zone;
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  std::uint16_t client_port = 0; ///< The port to which packets for clients are sent.
  unsigned slots = 2;
  unsigned queue = 8;
  std::int64_t work_ms = 20;
  std::int64_t max_work_ms = 0; ///< Work takes a random time from `work_ms` to this, if it is larger.
  std::int64_t heartbeat_ms = 1200;
  bool refuses_when_full = false; ///< Connections for liveness checks, since one of them occupies a slot.
  std::int64_t cold_work_ms = 20; ///< While the host is cold.
  std::int64_t cold_ms = 0;       ///< How long it stays cold; 0 for a host that was there before the traffic.
};

/// What the hosts saw.
struct host_observer
{
  std::function<void(const std::string& host, bool cold, const packet& opening)> on_opening = [](auto&&...) {};
  std::function<void(const std::string& host, const packet& request)> on_run = [](auto&&...) {};
};

class host
{
public:
  host(event_loop& loop, store& registry, host_settings settings, host_observer& observer);

  /// Writes the host's entry.
  void report(const std::string& state);
  const std::string& id() const { return settings_.id; }

  /// The entry as the host wrote it last.
  const std::string& entry() const { return entry_; }

  std::int64_t last_heartbeat() const { return last_heartbeat_; }

  /// Reports that it leaves, goes on serving for `serving_ms`, and ends. Flows end with their next answer.
  void leave(std::int64_t serving_ms);
  bool is_cold() const;

private:
  using flow_key = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>;

  struct flow
  {
    std::uint32_t own_sequence = 0;    ///< Of the next byte to send.
    std::uint32_t client_sequence = 0; ///< Of the next byte expected.
    std::uint32_t echo = 0;
    std::uint32_t answer_sequence = 0;
    std::string answer; ///< Kept until the client has acknowledged it.
    bool open = false;
  };

  void heartbeat();
  bool is_full() const { return busy_ >= settings_.slots && waiting_.size() >= settings_.queue; }
  void accept_checks();
  void set_listening();
  void finish(const flow_key& key, const std::string& status);
  void receive();
  void on_packet(const packet& one);
  void on_request(const flow_key& key, flow& known, const packet& one);
  void start_work();
  void send(const flow_key& key,
            const flow& known,
            std::uint8_t flags,
            std::uint32_t sequence,
            const std::string& data);
  void resend_answer(const flow_key& key, std::uint32_t sequence, int tries);

  event_loop& loop_;
  store& registry_;
  host_settings settings_;
  host_observer& observer_;
  int socket_;
  int listener_;
  std::uint64_t tag_;
  std::int64_t warm_at_;
  std::int64_t born_;
  std::uint64_t sequence_ = 0;
  std::string entry_;
  std::string state_ = "ready";
  bool ended_ = false;
  std::int64_t last_heartbeat_;
  std::map<flow_key, flow> flows_;
  std::deque<flow_key> waiting_;
  unsigned busy_ = 0;
};

}
