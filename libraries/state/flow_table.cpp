#include "coltsfootlock/state/flow_table.h"

namespace coltsfootlock {

namespace {

constexpr std::size_t initial_index_size = 1024;

}

flow_table::flow_table(std::size_t capacity)
  : capacity_(capacity)
  , index_(initial_index_size, no_slot)
{
}

// Returns the position of the key in the index, or the empty position where it would be inserted.
std::size_t
flow_table::position_of(const flow_key& key) const
{
  const std::size_t mask = index_.size() - 1;
  std::size_t position = hash_of(key) & mask;
  while (index_[position] != no_slot && entry(index_[position]).key != key) {
    position = (position + 1) & mask;
  }
  return position;
}

const flow_entry*
flow_table::find(const flow_key& key) const
{
  const std::uint32_t slot = index_[position_of(key)];
  return slot == no_slot ? nullptr : &entry(slot);
}

flow_entry*
flow_table::find(const flow_key& key)
{
  const std::uint32_t slot = index_[position_of(key)];
  return slot == no_slot ? nullptr : &entry(slot);
}

std::uint32_t
flow_table::allocate_slot()
{
  if (!free_slots_.empty()) {
    const std::uint32_t slot = free_slots_.back();
    free_slots_.pop_back();
    return slot;
  }
  if (slot_count_ == blocks_.size() * block_size) {
    blocks_.push_back(std::make_unique<flow_entry[]>(block_size));
  }
  return static_cast<std::uint32_t>(slot_count_++);
}

void
flow_table::grow_index()
{
  index_.assign(index_.size() * 2, no_slot);
  for (std::size_t slot = 0; slot < slot_count_; ++slot) {
    if (entry(slot).occupied) {
      index_[position_of(entry(slot).key)] = static_cast<std::uint32_t>(slot);
    }
  }
}

flow_entry*
flow_table::insert(const flow_key& key)
{
  std::size_t position = position_of(key);
  if (index_[position] != no_slot) {
    return &entry(index_[position]);
  }
  if (size_ >= capacity_) {
    return nullptr;
  }
  if ((size_ + 1) * 4 > index_.size() * 3) {
    grow_index();
    position = position_of(key);
  }
  const std::uint32_t slot = allocate_slot();
  flow_entry& added = entry(slot);
  added = flow_entry{};
  added.key = key;
  added.occupied = true;
  index_[position] = slot;
  ++size_;
  return &added;
}

void
flow_table::erase(const flow_key& key)
{
  const std::size_t position = position_of(key);
  const std::uint32_t slot = index_[position];
  if (slot == no_slot) {
    return;
  }
  entry(slot).occupied = false;
  free_slots_.push_back(slot);
  --size_;
  close_gap(position);
}

// Moves later entries of the probe sequence back, so that a lookup never reaches an empty position before its key.
void
flow_table::close_gap(std::size_t gap)
{
  const std::size_t mask = index_.size() - 1;
  std::size_t position = gap;
  for (;;) {
    position = (position + 1) & mask;
    if (index_[position] == no_slot) {
      break;
    }
    const std::size_t preferred = hash_of(entry(index_[position]).key) & mask;
    if (((position - preferred) & mask) >= ((position - gap) & mask)) {
      index_[gap] = index_[position];
      gap = position;
    }
  }
  index_[gap] = no_slot;
}

const flow_entry*
flow_table::at(std::size_t slot) const
{
  return slot < slot_count_ && entry(slot).occupied ? &entry(slot) : nullptr;
}

flow_entry*
flow_table::at(std::size_t slot)
{
  return slot < slot_count_ && entry(slot).occupied ? &entry(slot) : nullptr;
}

}
