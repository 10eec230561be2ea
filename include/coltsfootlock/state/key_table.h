#pragma once

#include "coltsfootlock/state/key_entry.h"
#include "coltsfootlock/state/key_id.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace coltsfootlock {

/// Idempotency keys that a daemon owns, with their outcomes. Bounded: a full table accepts no new key, because evicting
/// a live key would allow it to run twice.
class key_table
{
public:
  /// Keys are kept for `retention` after they were first seen; all stored answers together use at most
  /// `max_stored_bytes`.
  key_table(std::size_t max_keys, std::size_t max_stored_bytes, duration retention);

  /// The entry, valid until the key expires; null for an unknown key.
  key_entry* find(const key_id& id);

  /// Adds an unknown key as queued; null if the table is full.
  key_entry* insert(const key_id& id, instant now);

  /// Marks the key as answered. The answer is stored if it fits into the memory limit for answers.
  void answer(key_entry& entry, std::vector<std::string> segments);

  /// Marks the key as refused permanently.
  static void refuse(key_entry& entry, run_outcome outcome, refusal_reason reason);

  /// Removes keys past the retention; keys that are queued or sent are kept.
  void expire(instant now);

  std::size_t size() const { return entries_.size(); }

private:
  struct hasher
  {
    std::size_t operator()(const key_id& id) const { return hash_of(id); }
  };
  using entry_map = std::unordered_map<key_id, key_entry, hasher>;

  std::size_t max_keys_;
  std::size_t max_stored_bytes_;
  duration retention_;
  std::size_t stored_bytes_ = 0;
  entry_map entries_;
  std::deque<const key_id*> by_age_; ///< Points to the keys of entries_, oldest first.
};

}
