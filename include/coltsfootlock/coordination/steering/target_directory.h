#pragma once

#include "coltsfootlock/coordination/steering/target_state.h"

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace coltsfootlock {

/// The token that packets of a target's flows carry: the tag itself where it fits, else a hash of it. Equal on every
/// daemon; 0 is never used.
target_token
token_of_tag(std::uint64_t tag);

/// The targets that the platform's records name, and those that were named until recently. A record never goes back to
/// an older revision.
class target_directory
{
public:
  enum class effect
  {
    none, ///< Older than what is known.
    changed,
    restarted, ///< The same name, a new incarnation: flows of the previous one have ended.
  };

  effect publish(const target_record& record, std::uint64_t revision, instant now);

  /// The record is gone. While the store has only just returned (`settles_at` > now), the target counts as lapsed until
  /// then. Returns true if the target was present.
  bool remove(const vm_id& id, std::uint64_t revision, instant outage_grace_end, instant now);

  void mark_unreadable(const vm_id& id, std::uint64_t revision, instant now);

  /// A full list of the records follows.
  void begin_snapshot();

  /// The list is complete and dates from `revision`: present targets that it did not name and that did not change since
  /// have lapsed. Returns their number.
  std::size_t end_snapshot(std::uint64_t revision, instant outage_grace_end, instant now);

  /// Lapsed targets whose time is over are gone; targets gone for longer than `retention` are forgotten.
  void tick(milliseconds retention, instant now);

  /// All targets with this token; more than one only if hashes collide.
  const std::vector<target_state*>& with_token(target_token token) const;

  const std::vector<target_state*>& of_group(const std::string& group) const;

  target_state* find(const vm_id& id);

  void for_each(const std::function<void(target_state&)>& visit);

  std::size_t size() const { return targets_.size(); }

private:
  void index(target_state& target);
  void unindex(target_state& target);

  std::unordered_map<vm_id, target_state> targets_;
  std::unordered_map<target_token, std::vector<target_state*>> by_token_;
  std::unordered_map<std::string, std::vector<target_state*>> by_group_;
  std::uint64_t snapshot_ = 0;
};

}
