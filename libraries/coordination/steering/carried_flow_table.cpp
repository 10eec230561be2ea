#include "coltsfootlock/coordination/steering/carried_flow_table.h"

#include <iterator>

namespace coltsfootlock {

carried_flow*
carried_flow_table::find(const flow_key& key)
{
  const auto found = flows_.find(key);
  return found == flows_.end() ? nullptr : &found->second;
}

carried_flow*
carried_flow_table::add(const flow_key& key, const vm_id& target, instant now)
{
  if (flows_.size() >= max_flows_) {
    return nullptr;
  }
  carried_flow& flow = flows_[key];
  flow = carried_flow{};
  flow.target = target;
  flow.opened = now;
  flow.last_packet = now;
  flow.last_progress = now;
  return &flow;
}

void
carried_flow_table::erase(const flow_key& key)
{
  flows_.erase(key);
}

void
carried_flow_table::erase_if(const std::function<bool(const flow_key&, carried_flow&)>& wanted)
{
  for (auto position = flows_.begin(); position != flows_.end();) {
    position = wanted(position->first, position->second) ? flows_.erase(position) : std::next(position);
  }
}

}
