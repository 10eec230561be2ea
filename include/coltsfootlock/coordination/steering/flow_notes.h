#pragma once

#include "coltsfootlock/state/carried_packet.h"
#include "coltsfootlock/state/time.h"
#include "coltsfootlock/state/vm_list.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace coltsfootlock {

/// What this daemon has seen of a flow whose packets name its target. It is not needed to forward packets: another
/// daemon that never saw the flow forwards them as well.
struct flow_note
{
  vm_id target;
  instant opened; ///< First packet seen here.
  instant last_packet;
  instant last_progress;          ///< Last packet that acknowledges something new of the target.
  std::uint32_t acknowledged = 0; ///< Highest position of the target's stream that the caller acknowledged.
  std::uint32_t sent_up_to = 0;   ///< Highest position of the caller's stream that passed here.
  bool answered = false;          ///< The caller reacted to an answer of the target.
  bool awaits_answer = false;     ///< The caller has sent data and has acknowledged nothing new since.
  bool closing = false;
};

struct flow_key_hash
{
  std::size_t operator()(const flow_key& key) const { return static_cast<std::size_t>(hash_of(key)); }
};

/// Notes of flows, bounded in number.
class flow_notes
{
public:
  explicit flow_notes(std::size_t most)
    : most_(most)
  {
  }

  flow_note* find(const flow_key& key);

  /// Adds a note; null if the table is full.
  flow_note* add(const flow_key& key, const vm_id& target, instant now);

  void erase(const flow_key& key);

  /// Erases the notes for which `wanted` returns true.
  void erase_if(const std::function<bool(const flow_key&, const flow_note&)>& wanted);

  std::size_t size() const { return notes_.size(); }

private:
  std::size_t most_;
  std::unordered_map<flow_key, flow_note, flow_key_hash> notes_;
};

}
