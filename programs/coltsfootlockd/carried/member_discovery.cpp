#include "carried/member_discovery.h"

#include "carried/peer_pages.h"

#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/protocol/relay_codec.h"
#include "coltsfootlock/transport/log.h"

#include <algorithm>
#include <utility>

namespace coltsfootlock {

namespace {

/// Maximum size of a member list, enough for thousands of daemons.
constexpr std::size_t max_list_bytes = 1024 * 1024;

}

member_discovery::member_discovery(const fleet_member& self, std::vector<endpoint> seeds, source_choice& sources)
  : self_(self)
  , seeds_(std::move(seeds))
  , next_seed_(static_cast<std::size_t>(hash_text(self.id))) // Daemons that start together ask different seeds.
  , sources_(sources)
{
}

bool
member_discovery::has_other_seeds() const
{
  return std::any_of(seeds_.begin(), seeds_.end(), [this](const endpoint& seed) { return seed != self_.call_address; });
}

void
member_discovery::add_descriptor(std::vector<pollfd>& wanted) const
{
  if (exchange_) {
    wanted.push_back({ exchange_->descriptor(), exchange_->events(), 0 });
  }
}

void
member_discovery::advance(bool ready, instant now)
{
  if (exchange_ && (ready || now >= deadline_)) {
    auto result = exchange_->advance(now);
    if (!result) {
      return;
    }
    if (const auto* response = std::get_if<http_answer>(&*result)) {
      on_response(*response, now);
    } else {
      write_log(log_level::info,
                "members",
                "no answer seed=" + to_string(current_seed_) + " reason=\"" + std::get<error>(*result).message + "\"");
      sources_.on_discovery_failed(now);
    }
    exchange_.reset();
  }
  if (!exchange_ && sources_.discovery_due(now)) {
    start(now);
  }
}

void
member_discovery::start(instant now)
{
  sources_.on_discovery_started(now);
  for (std::size_t tried = 0; tried < seeds_.size(); ++tried) {
    current_seed_ = seeds_[next_seed_++ % seeds_.size()];
    if (current_seed_ != self_.call_address) {
      deadline_ = now + (sources_.awaits_first_list(now) ? source_choice::first_seed_timeout : timeout);
      // Each exchange uses a new connection: exchanges are rare, and a seed should not hold a connection per daemon.
      exchange_.emplace(current_seed_, max_list_bytes);
      exchange_->get(peer_pages::member_list_request_target(self_), deadline_);
      return;
    }
  }
}

void
member_discovery::on_response(const http_answer& response, instant now)
{
  error why;
  const auto list = decode_member_list(response.body, why);
  if (response.status != 200 || !list) {
    write_log(log_level::warning,
              "members",
              "unusable answer seed=" + to_string(current_seed_) + " status=" + std::to_string(response.status) +
                " reason=\"" + why.message + "\"");
    sources_.on_discovery_failed(now);
    return;
  }
  sources_.on_member_list(*list, now);
}

}
