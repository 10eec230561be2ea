#pragma once

#include "coltsfootlock/state/time.h"

#include <optional>

namespace coltsfootlock {

/// Consecutive failed connection attempts to a target, and the judgements that they allow once reports of other daemons
/// would have arrived.
///
/// Load pattern: a saturated target refuses attempts, or leaves them unanswered, while it answers flows through other
/// daemons. One failed attempt, or one daemon's view, is therefore no proof that it is lost.
class loss_evidence
{
public:
  /// An attempt failed: refused, or conclusively silent.
  void add(instant started);

  /// The target answered, or another daemon saw an answer after the first attempt.
  void clear() { *this = {}; }

  /// The last attempt may end flows: those that this daemon knew when it started.
  void await_judgement(instant started, instant ended);

  /// True if the attempts are enough for a judgement: their number, and the time from the first to the last one.
  bool is_complete() const;

  /// Start of the newest attempt that a judgement may rest on, if the records are confirmed as of a time by which
  /// reports of answers since the first attempt would have arrived. Each attempt is returned once, and none that has
  /// waited for longer than reports are kept.
  std::optional<instant> take_judgement(instant confirmed_at, instant now);

  unsigned failures() const { return failures_; }

  /// Start of the first and of the last failed attempt; valid if there are any.
  instant first() const { return first_; }
  instant last() const { return last_; }

private:
  struct attempt
  {
    instant started;
    instant ended;
  };

  bool is_confirmed(const attempt& one, instant confirmed_at) const;

  unsigned failures_ = 0;
  instant first_;
  instant last_;
  /// The oldest and the newest attempt that await judgement. Attempts go on meanwhile: a judgement that moved with them
  /// would wait for as long as confirmations are slower than attempts.
  std::optional<attempt> oldest_;
  std::optional<attempt> newest_;
};

}
