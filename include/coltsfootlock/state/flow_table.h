#pragma once

#include "coltsfootlock/state/flow_entry.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace coltsfootlock {

/// A hash table of flow entries with a limit on their number. Entries keep their address until they are erased; memory
/// grows in blocks with the number of entries. Not thread-safe.
class flow_table
{
public:
  explicit flow_table(std::size_t capacity);

  /// Null if there is no entry.
  flow_entry* find(const flow_key& key);
  const flow_entry* find(const flow_key& key) const;

  /// The existing entry or a new one; null if the table is full.
  flow_entry* insert(const flow_key& key);

  void erase(const flow_key& key);

  std::size_t size() const { return size_; }

  /// Slots are numbered from 0; a scan over them visits every entry that exists during the whole scan.
  std::size_t slot_count() const { return slot_count_; }

  /// Null if the slot is free.
  flow_entry* at(std::size_t slot);
  const flow_entry* at(std::size_t slot) const;

private:
  static constexpr std::size_t block_size = 1024;
  static constexpr std::uint32_t no_slot = 0xffffffffU;

  flow_entry& entry(std::size_t slot) const { return blocks_[slot / block_size][slot % block_size]; }
  std::size_t position_of(const flow_key& key) const;
  std::uint32_t allocate_slot();
  void grow_index();
  void close_gap(std::size_t gap);

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::size_t slot_count_ = 0;
  std::vector<std::unique_ptr<flow_entry[]>> blocks_;
  std::vector<std::uint32_t> free_slots_;
  std::vector<std::uint32_t> index_; ///< Slot numbers by hash, with linear probing; the size is a power of two.
};

}
