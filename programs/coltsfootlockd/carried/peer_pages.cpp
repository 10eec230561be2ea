#include "carried/peer_pages.h"

#include "coltsfootlock/coordination/steering/watch_response.h"
#include "coltsfootlock/protocol/relay_codec.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <memory>
#include <optional>

namespace coltsfootlock::peer_pages {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
constexpr const char* binary = "application/msgpack";
constexpr std::uint64_t max_wait_ms = 30000;
constexpr std::uint64_t max_max_age_ms = 1000ULL * 3600 * 24;
constexpr std::uint64_t max_link_kbps = std::numeric_limits<std::uint32_t>::max();

std::optional<std::uint64_t>
number_of(const page_request& request, const std::string& name)
{
  const auto found = request.query.find(name);
  std::uint64_t value = 0;
  if (found == request.query.end()) {
    return std::nullopt;
  }
  const std::string& text = found->second;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || status != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/// The position after which the follower asks for changes; empty if it is not a position. A daemon of the previous
/// version states no era and cannot tell eras apart, so that its revision is taken as one of the present era.
std::optional<store_position>
position_of(const page_request& request, const store_position& present)
{
  const auto revision = number_of(request, "after");
  const bool states_era = request.query.contains("era");
  const auto era = states_era ? number_of(request, "era") : std::optional(present.era);
  return revision && era ? std::optional(store_position(*era, *revision)) : std::nullopt;
}

std::string
text_of(const page_request& request, const std::string& name)
{
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

/// Load pattern: all daemons of a domain start together and request the list of their reader while it receives its own.
std::optional<page>
list_page(const record_path& records,
          const observation_board& observations,
          encoded_changes& encoded,
          const page_request& request,
          instant now)
{
  const auto age = records.age(now);
  // The follower has heard of an era that this daemon is about to hear of, or is listing.
  const bool of_lower_era = records.cache().position().era < number_of(request, "era").value_or(0);
  const auto all = age && !of_lower_era ? encoded.all(records.cache()) : std::nullopt;
  if (all) {
    return page{ status_ok,
                 encode_response(*all, records.cache().position(), *age, observations.since(0, now)),
                 binary };
  }
  const bool waits = of_lower_era ? now - request.arrived < max_era_wait
                                  : records.expects_list() && now - request.arrived < max_list_wait;
  return waits ? std::nullopt : std::optional(page{ status_unavailable, "", "text/plain" });
}

std::optional<page>
watch_page(const record_path& records,
           const observation_board& observations,
           const load_board& loads,
           encoded_changes& encoded,
           encoded_totals& totals,
           const page_request& request,
           instant now)
{
  const auto after = position_of(request, records.cache().position());
  const auto wait = number_of(request, "wait");
  const auto max_age = number_of(request, "max_age");
  if (!after || !wait || *wait > max_wait_ms || !max_age || *max_age > max_max_age_ms) {
    return page{ status_bad_request, "", "text/plain" };
  }
  const pending_watch follower{ *after,
                                request.arrived,
                                milliseconds(static_cast<milliseconds::rep>(*wait)),
                                number_of(request, "observation").value_or(0),
                                milliseconds(static_cast<milliseconds::rep>(*max_age)) };
  const auto age = records.age(now);
  if (!age || !records.cache().complete()) {
    // All daemons of a domain may have started together, and this one may complete its list a little later than its
    // follower's request arrives.
    const milliseconds max_wait = std::max(follower.max_wait, max_renewal_time);
    const bool waits = records.expects_list() && now - follower.requested_at < max_wait;
    return waits ? std::nullopt : std::optional(page{ status_unavailable, "", "text/plain" });
  }
  const record_status known{
    records.cache().position(), age->records, records.renewed_at(), observations.newest(), records.is_renewing(now)
  };
  if (!response_is_due(follower, known, now)) {
    return std::nullopt;
  }
  const auto changes = encoded.since(records.cache(), *after);
  if (!changes) {
    return page{ status_gone, "", "text/plain" };
  }
  // A daemon of the previous version does not ask for load totals.
  const auto known_loads = number_of(request, "load");
  return page{ status_ok,
               encode_response(*changes,
                               records.cache().position(),
                               *age,
                               observations.since(follower.observation, now),
                               known_loads ? totals.after(*known_loads, loads, now) : std::nullopt),
               binary };
}

page
members_page(source_choice& sources, const page_request& request, instant now)
{
  const auto address = parse_endpoint(text_of(request, "address"));
  const std::uint64_t link_kbps = number_of(request, "link_kbps").value_or(0);
  const fleet_member requester{ text_of(request, "vm"),
                                text_of(request, "domain"),
                                address.value_or(endpoint{}),
                                static_cast<std::uint32_t>(std::min(link_kbps, max_link_kbps)) };
  if (!address || requester.id.empty() || requester.domain.empty()) {
    return { status_bad_request, "", "text/plain" };
  }
  sources.on_member(requester, now);
  return { status_ok, encode_member_list(sources.member_list_for(requester.domain, now)), binary };
}

}

void
encoded_changes::discard_outdated(const record_cache& cache)
{
  if (cache.position() != position_ || cache.expired_records() != expired_records_) {
    position_ = cache.position();
    expired_records_ = cache.expired_records();
    all_.reset();
    since_.clear();
  }
}

std::optional<std::string>
encoded_changes::all(const record_cache& cache)
{
  discard_outdated(cache);
  if (!all_) {
    const auto records = cache.all();
    all_ = records ? std::optional(encode_changes(*records)) : std::nullopt;
  }
  return all_;
}

std::optional<std::string>
encoded_changes::since(const record_cache& cache, const store_position& position)
{
  discard_outdated(cache);
  const auto found = since_.find(position);
  if (found != since_.end()) {
    return found->second;
  }
  const auto changes = cache.since(position);
  if (!changes) {
    return std::nullopt;
  }
  return since_.emplace(position, encode_changes(*changes)).first->second;
}

std::optional<encoded_loads>
encoded_totals::after(std::uint64_t number, const load_board& loads, instant now)
{
  const auto totals = loads.totals_after(number, now);
  if (!totals) {
    return std::nullopt;
  }
  if (totals->number != number_) {
    number_ = totals->number;
    rows_ = encode_loads(*totals);
  }
  return encoded_loads{ totals->number, totals->age, rows_ };
}

std::string
request_target(const record_call& call, const watch_options& options)
{
  struct visitor
  {
    const watch_options& options;

    std::string operator()(const list_call& list) const { return "/records/list?era=" + std::to_string(list.era); }
    std::string operator()(const watch_call& watch) const
    {
      return "/records/watch?after=" + std::to_string(watch.after.revision) +
             "&era=" + std::to_string(watch.after.era) + "&wait=" + std::to_string(watch.wait.count()) +
             "&observation=" + std::to_string(options.observation) +
             "&max_age=" + std::to_string(options.max_age.count()) + "&load=" + std::to_string(options.loads);
    }
  };
  return std::visit(visitor{ options }, call);
}

record_response
read_response(const record_call& call, const http_answer& response)
{
  const bool is_watch = std::holds_alternative<watch_call>(call);
  if (is_watch && response.status == status_gone) {
    return history_unavailable{};
  }
  if (response.status != status_ok) {
    return call_failed{ { error_kind::unavailable,
                          "the other daemon answered with status " + std::to_string(response.status) } };
  }
  return is_watch ? decode_events(response.body) : decode_page(response.body);
}

std::string
member_list_request_target(const fleet_member& self)
{
  return "/members?vm=" + self.id + "&domain=" + self.domain + "&address=" + to_string(self.call_address) +
         "&link_kbps=" + std::to_string(self.link_kbps);
}

void
add_pages(page_server& server,
          const record_path& records,
          const observation_board& observations,
          const load_board& loads,
          source_choice& sources)
{
  const auto encoded = std::make_shared<encoded_changes>();
  const auto totals = std::make_shared<encoded_totals>();
  server.add_page("/records/list", [&records, &observations, encoded](const page_request& request, instant now) {
    return list_page(records, observations, *encoded, request, now);
  });
  server.add_page("/records/watch",
                  [&records, &observations, &loads, encoded, totals](const page_request& request, instant now) {
                    return watch_page(records, observations, loads, *encoded, *totals, request, now);
                  });
  server.add_page("/members",
                  [&sources](const page_request& request, instant now) { return members_page(sources, request, now); });
}

}
