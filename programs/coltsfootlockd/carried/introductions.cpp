#include "carried/introductions.h"

#include "carried/peer_pages.h"

#include "coltsfootlock/protocol/relay_codec.h"
#include "coltsfootlock/transport/log.h"

#include <utility>

namespace coltsfootlock {

namespace {

/// Longest list of members that is read; thousands of daemons.
constexpr std::size_t longest_list_bytes = 1024 * 1024;

}

introductions::introductions(const fleet_member& self, std::vector<endpoint> seeds, source_choice& sources)
  : self_(self)
  , seeds_(std::move(seeds))
  , sources_(sources)
{
}

void
introductions::add_descriptor(std::vector<pollfd>& wanted) const
{
  if (exchange_) {
    wanted.push_back({ exchange_->descriptor(), exchange_->events(), 0 });
  }
}

void
introductions::advance(bool ready, instant now)
{
  if (exchange_ && (ready || now >= deadline_)) {
    auto result = exchange_->advance(now);
    if (!result) {
      return;
    }
    if (const auto* answer = std::get_if<http_answer>(&*result)) {
      on_answer(*answer, now);
    } else {
      write_log(log_level::info,
                "members",
                "no answer seed=" + to_string(asked_) + " reason=\"" + std::get<error>(*result).message + "\"");
    }
    exchange_.reset();
  }
  if (!exchange_ && sources_.introduction_due(now)) {
    start(now);
  }
}

void
introductions::start(instant now)
{
  sources_.on_introduction(now);
  for (std::size_t tried = 0; tried < seeds_.size(); ++tried) {
    asked_ = seeds_[next_seed_++ % seeds_.size()];
    if (asked_ != self_.call_address) {
      deadline_ = now + timeout;
      // A connection of its own for each: introductions are rare, and a seed should not hold one for each daemon.
      exchange_.emplace(asked_, longest_list_bytes);
      exchange_->get(peer_pages::introduction_target(self_), deadline_);
      return;
    }
  }
}

void
introductions::on_answer(const http_answer& answer, instant now)
{
  error why;
  const auto introduced = decode_introduction(answer.body, why);
  if (answer.status != 200 || !introduced) {
    write_log(log_level::warning,
              "members",
              "unusable answer seed=" + to_string(asked_) + " status=" + std::to_string(answer.status) + " reason=\"" +
                why.message + "\"");
    return;
  }
  sources_.on_introduced(*introduced, now);
}

}
