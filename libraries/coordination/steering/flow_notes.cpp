#include "coltsfootlock/coordination/steering/flow_notes.h"

namespace coltsfootlock {

flow_note*
flow_notes::find(const flow_key& key)
{
  const auto found = notes_.find(key);
  return found == notes_.end() ? nullptr : &found->second;
}

flow_note*
flow_notes::add(const flow_key& key, const vm_id& target, instant now)
{
  if (notes_.size() >= most_) {
    return nullptr;
  }
  const auto [position, is_new] = notes_.try_emplace(key);
  if (is_new) {
    by_caller_[key.caller.address].push_back(key);
  }
  flow_note& note = position->second;
  note = flow_note{};
  note.target = target;
  note.opened = now;
  note.last_packet = now;
  note.last_progress = now;
  return &note;
}

void
flow_notes::unlist(const flow_key& key)
{
  const auto found = by_caller_.find(key.caller.address);
  if (found == by_caller_.end()) {
    return;
  }
  std::erase(found->second, key);
  if (found->second.empty()) {
    by_caller_.erase(found);
  }
}

void
flow_notes::erase(const flow_key& key)
{
  if (notes_.erase(key) != 0) {
    unlist(key);
  }
}

void
flow_notes::erase_if(const std::function<bool(const flow_key&, const flow_note&)>& wanted)
{
  for (auto position = notes_.begin(); position != notes_.end();) {
    if (!wanted(position->first, position->second)) {
      ++position;
      continue;
    }
    unlist(position->first);
    position = notes_.erase(position);
  }
}

void
flow_notes::for_each_of_caller(std::uint32_t caller_address,
                               const endpoint& service,
                               const std::function<void(const flow_note&)>& visit) const
{
  const auto found = by_caller_.find(caller_address);
  if (found == by_caller_.end()) {
    return;
  }
  for (const flow_key& key : found->second) {
    if (key.service == service) {
      visit(notes_.at(key));
    }
  }
}

}
