#include "carried/peer_pages.h"

#include "coltsfootlock/coordination/steering/follower_answer.h"
#include "coltsfootlock/protocol/relay_codec.h"

#include <charconv>
#include <memory>
#include <optional>

namespace coltsfootlock::peer_pages {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
constexpr const char* binary = "application/msgpack";
constexpr std::uint64_t longest_wait_ms = 30000;

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

std::string
text_of(const page_request& request, const std::string& name)
{
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

page
list_page(const record_path& records, encoded_changes& encoded, instant now)
{
  const auto age = records.age(now);
  const auto all = encoded.all(records.book());
  if (!age || !all) {
    return { status_unavailable, "", "text/plain" };
  }
  return { status_ok, encode_answer(*all, records.book().revision(), *age), binary };
}

std::optional<page>
watch_page(const record_path& records,
           encoded_changes& encoded,
           milliseconds oldest_records,
           const page_request& request,
           instant now)
{
  const auto after = number_of(request, "after");
  const auto wait = number_of(request, "wait");
  if (!after || !wait || *wait > longest_wait_ms) {
    return page{ status_bad_request, "", "text/plain" };
  }
  const waiting_follower follower{ *after, request.arrived, milliseconds(static_cast<milliseconds::rep>(*wait)) };
  const auto age = records.age(now);
  if (!age || !records.book().complete()) {
    // All daemons of a domain may have started, and this one is a few pages of the list behind its follower.
    const bool waits = now - follower.asked_at < follower.longest_wait;
    return waits ? std::nullopt : std::optional(page{ status_unavailable, "", "text/plain" });
  }
  const relayed_records known{ records.book().revision(), age->records, records.renewed_at() };
  if (!answer_is_due(follower, known, oldest_records, now)) {
    return std::nullopt;
  }
  const auto changes = encoded.since(records.book(), *after);
  if (!changes) {
    return page{ status_gone, "", "text/plain" };
  }
  return page{ status_ok, encode_answer(*changes, records.book().revision(), *age), binary };
}

page
members_page(source_choice& sources, const page_request& request, instant now)
{
  const auto address = parse_endpoint(text_of(request, "address"));
  const fleet_member asker{ text_of(request, "vm"), text_of(request, "domain"), address.value_or(endpoint{}) };
  if (!address || asker.id.empty() || asker.domain.empty()) {
    return { status_bad_request, "", "text/plain" };
  }
  sources.on_member(asker, now);
  return { status_ok, encode_introduction(sources.introduction_for(asker.domain, now)), binary };
}

}

void
encoded_changes::forget_older(const record_book& book)
{
  if (book.revision() != revision_) {
    revision_ = book.revision();
    all_.reset();
    since_.clear();
  }
}

std::optional<std::string>
encoded_changes::all(const record_book& book)
{
  forget_older(book);
  if (!all_) {
    const auto records = book.all();
    all_ = records ? std::optional(encode_changes(*records)) : std::nullopt;
  }
  return all_;
}

std::optional<std::string>
encoded_changes::since(const record_book& book, std::uint64_t revision)
{
  forget_older(book);
  const auto found = since_.find(revision);
  if (found != since_.end()) {
    return found->second;
  }
  const auto changes = book.since(revision);
  if (!changes) {
    return std::nullopt;
  }
  return since_.emplace(revision, encode_changes(*changes)).first->second;
}

std::string
request_target(const record_call& call)
{
  struct visitor
  {
    std::string operator()(const list_call&) const { return "/records/list"; }
    std::string operator()(const watch_call& watch) const
    {
      return "/records/watch?after=" + std::to_string(watch.after) + "&wait=" + std::to_string(watch.wait.count());
    }
  };
  return std::visit(visitor{}, call);
}

record_answer
read_answer(const record_call& call, const http_answer& answer)
{
  const bool is_watch = std::holds_alternative<watch_call>(call);
  if (is_watch && answer.status == status_gone) {
    return history_forgotten{};
  }
  if (answer.status != status_ok) {
    return call_failed{ { error_kind::unavailable,
                          "the other daemon answered with status " + std::to_string(answer.status) } };
  }
  return is_watch ? decode_events(answer.body) : decode_page(answer.body);
}

std::string
introduction_target(const fleet_member& self)
{
  return "/members?vm=" + self.id + "&domain=" + self.domain + "&address=" + to_string(self.call_address);
}

void
add_pages(page_server& server, const record_path& records, source_choice& sources, milliseconds oldest_records)
{
  const auto encoded = std::make_shared<encoded_changes>();
  server.add_page("/records/list",
                  [&records, encoded](const page_request&, instant now) { return list_page(records, *encoded, now); });
  server.add_page("/records/watch", [&records, encoded, oldest_records](const page_request& request, instant now) {
    return watch_page(records, *encoded, oldest_records, request, now);
  });
  server.add_page("/members",
                  [&sources](const page_request& request, instant now) { return members_page(sources, request, now); });
}

}
