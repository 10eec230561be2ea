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
  flow_note& note = notes_[key];
  note = flow_note{};
  note.target = target;
  note.opened = now;
  note.last_packet = now;
  note.last_progress = now;
  return &note;
}

void
flow_notes::erase(const flow_key& key)
{
  notes_.erase(key);
}

void
flow_notes::erase_if(const std::function<bool(const flow_key&, const flow_note&)>& wanted)
{
  std::erase_if(notes_, [&wanted](const auto& item) { return wanted(item.first, item.second); });
}

}
