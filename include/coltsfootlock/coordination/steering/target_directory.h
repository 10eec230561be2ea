#pragma once

#include "coltsfootlock/coordination/steering/target_state.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace coltsfootlock {

/// The token in packets of a target's flows: the tag if it fits into 32 bits, else a hash of it. The same on every
/// daemon, and never 0.
target_token
token_of_tag(std::uint64_t tag);

/// The targets that were removed shortly after an outage of the store and may return.
struct lapsed_targets
{
  std::size_t count = 0;
  std::optional<instant> since; ///< When the first of them was removed; empty if there are none.

  auto operator<=>(const lapsed_targets&) const = default;
};

/// The targets in the platform's records, and those that were removed recently. Changes with an older position than the
/// known one are ignored.
///
/// Load pattern: the store comes back from an older copy, in which a target that is leaving is still ready, or one that
/// was removed still exists. An entry of a higher era that the target wrote earlier than the known one does not replace
/// it, nor does it bring back a target that was removed; only its position is taken over.
class target_directory
{
public:
  enum class effect
  {
    none, ///< Not newer than the known position.
    changed,
    restarted, ///< The name is the same, the incarnation is new: flows of the previous one have ended.
    unreadable ///< The start time is missing, and the known record has one: as `mark_unreadable`.
  };

  effect publish(const target_record& record, const store_position& position, instant now);

  /// The record was removed. Shortly after an outage of the store (`outage_grace_end` > now), the target is lapsed
  /// until `outage_grace_end`. Returns true if the target was present.
  bool remove(const vm_id& id, const store_position& position, instant outage_grace_end, instant now);

  void mark_unreadable(const vm_id& id, const store_position& position, instant now);

  /// A full list of the records follows.
  void begin_snapshot();

  /// The list is complete as of `position`. Removes present targets that it did not contain and that did not change
  /// since, and returns their number. A record of an earlier era in the list is one that its sender retains although
  /// the store lacks it.
  std::size_t end_snapshot(const store_position& position, instant outage_grace_end, instant now);

  /// Marks lapsed targets as gone when the records are confirmed as of the end of their grace period, which a later
  /// outage renews, and erases targets that have been gone for longer than `retention`. Returns the lapsed targets that
  /// are gone now.
  std::vector<const target_state*> tick(milliseconds retention,
                                        std::optional<instant> confirmed_at,
                                        instant outage_grace_end,
                                        instant now);

  /// All targets with this token; more than one only if hashes collide.
  const std::vector<target_state*>& with_token(target_token token) const;

  const std::vector<target_state*>& of_group(const std::string& group) const;

  target_state* find(const vm_id& id);
  const target_state* find(const vm_id& id) const;

  void for_each(const std::function<void(target_state&)>& visit);

  std::size_t size() const { return targets_.size(); }

  lapsed_targets lapsed() const;

private:
  static bool known_is_newer(const target_state& known, const target_record& record, const store_position& position);
  void index(target_state& target);
  void unindex(target_state& target);

  std::unordered_map<vm_id, target_state> targets_;
  std::unordered_map<target_token, std::vector<target_state*>> by_token_;
  std::unordered_map<std::string, std::vector<target_state*>> by_group_;
  std::uint64_t snapshot_ = 0;
};

}
