#include "carried/load_path.h"

#include "coltsfootlock/coordination/rendezvous.h"
#include "coltsfootlock/protocol/load_codec.h"
#include "coltsfootlock/transport/log.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>
#include <utility>
#include <variant>

namespace coltsfootlock {

namespace {

constexpr std::string_view page_path = "/load";

/// Above the size of 256 rows with the longest names and nothing in common.
constexpr std::size_t max_answer_bytes = 64 * 1024;

/// Keeps a request with all its rows within the limit of `page_server`.
constexpr std::size_t max_rows_bytes = 7 * 1024;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
constexpr const char* binary = "application/msgpack";

/// The number in a query, or 0 if there is none; empty if it is malformed.
std::optional<std::uint32_t>
small_number(const page_request& request, const std::string& name)
{
  std::uint32_t value = 0;
  const auto found = request.query.find(name);
  if (found == request.query.end()) {
    return value;
  }
  const std::string& text = found->second;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool valid = !text.empty() && status == std::errc() && end == text.data() + text.size();
  return valid ? std::optional(value) : std::nullopt;
}

}

load_path::load_path(std::string self, std::string domain, steering_engine& engine, const source_choice& sources)
  : self_(std::move(self))
  , domain_(std::move(domain))
  , engine_(engine)
  , sources_(sources)
  , board_(domain_)
{
}

void
load_path::add_descriptors(std::vector<pollfd>& wanted) const
{
  if (exchange_) {
    wanted.push_back({ exchange_->descriptor(), exchange_->events(), 0 });
  }
  for (const auto& [domain, calls] : domains_) {
    if (calls.exchange) {
      wanted.push_back({ calls.exchange->descriptor(), calls.exchange->events(), 0 });
    }
  }
}

std::optional<std::variant<http_answer, error>>
load_path::end_of_call(http_exchange& exchange, instant deadline, bool ready, instant now)
{
  if (!ready && !(exchange.busy() && now >= deadline)) {
    return std::nullopt;
  }
  return exchange.advance(now); // Without a call, the other daemon closed the idle connection.
}

void
load_path::advance(std::span<const pollfd> polled, const std::optional<fleet_member>& source, instant now)
{
  std::size_t position = 0;
  const auto next_is_ready = [&polled, &position] {
    return position < polled.size() && polled[position++].revents != 0;
  };
  if (exchange_) {
    if (const auto result = end_of_call(*exchange_, deadline_, next_is_ready(), now)) {
      const auto* answer = std::get_if<http_answer>(&*result);
      if (answer == nullptr || answer->status != status_ok) {
        ++counters_.calls_failed;
        next_message_ = now + retry_delay;
      }
    }
  }
  for (auto& [domain, calls] : domains_) {
    if (!calls.exchange) {
      continue;
    }
    if (const auto result = end_of_call(*calls.exchange, calls.deadline, next_is_ready(), now)) {
      on_domain_answer(domain, calls, *result, now);
    }
  }
  if (auto rows = engine_.take_load_window(now)) {
    on_window(std::move(*rows), source, now);
  }
  for (auto& [domain, calls] : domains_) {
    if (now >= calls.next_call) {
      call_domain(calls, now);
    }
  }
}

bool
load_path::reads_store(const std::optional<fleet_member>& source, instant now)
{
  if (source) {
    reading_since_.reset();
    return false;
  }
  reading_since_ = reading_since_.value_or(now);
  return now - *reading_since_ >= min_reading_time;
}

void
load_path::on_window(std::vector<target_load> rows, const std::optional<fleet_member>& source, instant now)
{
  participation_.on_window(engine_.group_loads(rows), sources_.daemons_in_domain(now), now);
  board_.set_own(std::move(rows), participation_.loaded(now), now);
  const bool loaded = board_.loaded(now);
  if (loaded || participating_) {
    update_limits(now);
  }
  if (reads_store(source, now) && loaded) {
    choose_domains(now);
    board_.publish(limits_.own_rows, limits_.foreign_rows, now);
  } else {
    domains_.clear();
  }
  set_target_loads(now);
  set_participating(loaded || board_.totals(now).has_value(), now);
  if (participating_ && source) {
    send_rows(*source, now);
  } else if (!participating_ && exchange_ && !exchange_->busy()) {
    exchange_.reset();
  }
}

void
load_path::send_rows(const fleet_member& source, instant now)
{
  if (now < next_message_ || (exchange_ && exchange_->busy())) {
    return;
  }
  if (!exchange_ || source.call_address != server_) {
    server_ = source.call_address;
    exchange_.emplace(server_, max_answer_bytes);
  }
  const load_message message = board_.message_for(source.id, limits_.sent_rows, now);
  const std::string text = load_rows_text(message.rows, max_rows_bytes);
  counters_.rows_sent += static_cast<std::uint64_t>(std::count(text.begin(), text.end(), ','));
  deadline_ = now + timeout;
  exchange_->get(std::string(page_path) + "?vm=" + self_ + "&loaded=" + (message.loaded ? "1" : "0") +
                   "&depth=" + std::to_string(message.depth) + "&rows=" + text,
                 deadline_);
}

void
load_path::update_limits(instant now)
{
  std::set<std::string> domains;
  for (const fleet_member& member : sources_.contacts(now)) {
    domains.insert(member.domain);
  }
  limits_ = exchange_limits(domains.size());
}

/// Keeps the calls to the other domains in line with the known contacts.
void
load_path::choose_domains(instant now)
{
  std::map<std::string, std::vector<endpoint>> contacts;
  for (const fleet_member& member : sources_.contacts(now)) {
    contacts[member.domain].push_back(member.call_address);
  }
  std::vector<std::string> names;
  names.reserve(contacts.size());
  for (const auto& [domain, addresses] : contacts) {
    names.push_back(domain);
  }
  const auto wanted = choose_asked_domains(domain_, std::move(names), limits_.asked_domains);
  std::erase_if(domains_, [&wanted](const auto& item) {
    return !std::binary_search(wanted.begin(), wanted.end(), item.first) &&
           !(item.second.exchange && item.second.exchange->busy());
  });
  for (const std::string& domain : wanted) {
    const auto [found, is_new] = domains_.try_emplace(domain);
    found->second.contacts = contacts[domain];
    if (is_new) {
      const auto spread = static_cast<milliseconds::rep>(hash_text(self_ + domain) % load_window.count());
      found->second.next_call = now + milliseconds(spread);
    }
  }
}

void
load_path::call_domain(domain_calls& calls, instant now)
{
  if (calls.contacts.empty() || (calls.exchange && calls.exchange->busy())) {
    return;
  }
  const endpoint& server = calls.contacts[calls.preferred % calls.contacts.size()];
  if (!calls.exchange || server != calls.server) {
    calls.server = server;
    calls.exchange.emplace(server, max_answer_bytes);
  }
  calls.deadline = now + timeout;
  // Calls stay at their place in the window.
  calls.next_call += limits_.asking_interval;
  if (calls.next_call <= now) {
    calls.next_call = now + limits_.asking_interval;
  }
  calls.exchange->get(std::string(page_path) + "?domain=" + domain_, calls.deadline);
}

void
load_path::on_domain_answer(const std::string& domain,
                            domain_calls& calls,
                            const std::variant<http_answer, error>& result,
                            instant now)
{
  const auto* answer = std::get_if<http_answer>(&result);
  error why;
  const auto total =
    answer != nullptr && answer->status == status_ok ? decode_load_answer(answer->body, why) : std::nullopt;
  if (!total || total->domain != domain) {
    ++counters_.calls_failed;
    ++calls.preferred;
    return;
  }
  counters_.rows_received += total->own.size();
  board_.on_domain_total(domain, total->own, total->age, now);
}

void
load_path::set_participating(bool value, instant now)
{
  if (value == participating_) {
    return;
  }
  participating_ = value;
  if (!value) {
    write_log(log_level::info, "load", "no longer participating");
    return;
  }
  const char* reason = participation_.loaded(now) ? "own" : board_.loaded(now) ? "followers" : "totals";
  write_log(log_level::info,
            "load",
            std::string("participating reason=") + reason +
              " group=" + (participation_.loaded(now) ? participation_.group() : "-") +
              " daemons=" + std::to_string(sources_.daemons_in_domain(now)));
}

void
load_path::set_target_loads(instant now)
{
  const auto views = board_.views(now);
  if (loads_set_ || !views.empty()) {
    engine_.set_target_loads(views, board_.totals_at());
  }
  loads_set_ = !views.empty();
}

void
load_path::on_totals(const load_totals& totals, instant now)
{
  counters_.rows_received += totals.own.size() + totals.foreign.size();
  if (board_.on_source_totals(totals, now)) {
    set_target_loads(now);
  }
}

void
load_path::on_pause()
{
  board_.on_pause();
  participation_.on_pause();
  loads_set_ = false; // The engine discards its views as well.
}

page
load_path::refuse(const error& why)
{
  ++counters_.messages_refused;
  return { status_bad_request, std::string(to_string(why.kind)) + ": " + why.message, "text/plain" };
}

page
load_path::on_message(const page_request& request, instant now)
{
  const auto vm = request.query.find("vm");
  const auto text = request.query.find("rows");
  const auto loaded = small_number(request, "loaded");
  const auto depth = small_number(request, "depth");
  if (vm == request.query.end() || vm->second.empty() || text == request.query.end()) {
    return refuse({ error_kind::missing_field, "a request needs vm and rows, or domain; update the daemon" });
  }
  if (!loaded || *loaded > 1 || !depth) {
    return refuse({ error_kind::out_of_range, "loaded must be 0 or 1, and depth a whole number; update the daemon" });
  }
  error why;
  auto rows = read_load_rows(text->second, why);
  if (!rows) {
    return refuse(why);
  }
  counters_.rows_received += rows->size();
  if (!board_.on_message(vm->second, { std::move(*rows), *loaded == 1, *depth }, now)) {
    ++counters_.messages_refused;
    return { status_unavailable,
             "too_large: too many daemons follow this one, or the rows passed too many daemons; follow another one",
             "text/plain" };
  }
  return { status_ok, "", "text/plain" };
}

page
load_path::load_page(const page_request& request, instant now)
{
  const auto domain = request.query.find("domain");
  if (domain == request.query.end()) {
    return on_message(request, now);
  }
  if (domain->second.empty() || domain->second == domain_) {
    return refuse({ error_kind::conflict,
                    "domain must be another one than " + domain_ +
                      "; daemons of this domain get the totals with their "
                      "records" });
  }
  const load_totals total = board_.domain_total(now);
  counters_.rows_sent += total.own.size();
  return { status_ok, encode_load_answer({ total.number, total.age, encode_loads(total) }), binary };
}

void
load_path::add_page(page_server& server)
{
  server.add_page(std::string(page_path),
                  [this](const page_request& request, instant now) { return load_page(request, now); });
}

}
