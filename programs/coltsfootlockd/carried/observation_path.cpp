#include "carried/observation_path.h"

#include <charconv>
#include <string_view>
#include <variant>

namespace coltsfootlock {

namespace {

constexpr std::string_view page_path = "/observations";
constexpr std::size_t max_answer_bytes = 1024;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

/// Removes the part of `text` up to `separator` and returns it.
std::string_view
take_part(std::string_view& text, char separator)
{
  const std::size_t end = std::min(text.find(separator), text.size());
  const std::string_view part = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return part;
}

std::optional<std::uint64_t>
read_number(std::string_view text)
{
  std::uint64_t value = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || status != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}

/// "lost" is always there, since daemons of previous versions refuse a message without it and ignore "alive".
std::string
observations_request_target(const std::vector<target_observation>& observations)
{
  std::string lost;
  std::string alive;
  for (const target_observation& one : observations) {
    std::string& list = one.kind == observation_kind::alive ? alive : lost;
    list += one.target + ":" + std::to_string(one.incarnation) + ":" + std::to_string(one.age.count()) + ",";
  }
  return std::string(page_path) + "?lost=" + lost + (alive.empty() ? "" : "&alive=" + alive);
}

std::optional<std::vector<target_observation>>
read_observations(const std::string& text, observation_kind kind)
{
  std::vector<target_observation> result;
  std::string_view rest = text;
  while (!rest.empty()) {
    std::string_view item = take_part(rest, ',');
    const std::string_view target = take_part(item, ':');
    const auto incarnation = read_number(take_part(item, ':'));
    const auto age = read_number(item);
    const auto oldest = static_cast<std::uint64_t>(observation_board::max_age.count());
    if (target.empty() || !incarnation || !age || *age > oldest) {
      return std::nullopt;
    }
    result.push_back({ std::string(target), *incarnation, milliseconds(static_cast<milliseconds::rep>(*age)), kind });
  }
  return result;
}

observation_path::observation_path(steering_engine& engine)
  : engine_(engine)
{
}

void
observation_path::add_descriptor(std::vector<pollfd>& wanted) const
{
  if (exchange_) {
    wanted.push_back({ exchange_->descriptor(), exchange_->events(), 0 });
  }
}

void
observation_path::collect(instant now)
{
  for (const target_observation& observation : engine_.take_observations()) {
    board_.add(observation, observation_board::origin::own, now);
  }
}

void
observation_path::on_received(const std::vector<target_observation>& observations,
                              observation_board::origin from,
                              instant now)
{
  for (const target_observation& observation : observations) {
    const bool is_news = board_.add(observation, from, now);
    received_ += is_news ? 1 : 0;
    // Each answer of a target counts for the engine, also one that the board passes on later.
    if (is_news || (observation.kind == observation_kind::alive && observation.age <= observation_board::max_age)) {
      engine_.on_observation(observation, now);
    }
  }
}

void
observation_path::advance(bool ready, const std::optional<endpoint>& source, instant now)
{
  if (exchange_ && exchange_->busy() && (ready || now >= deadline_)) {
    const auto result = exchange_->advance(now);
    if (!result) {
      return;
    }
    // A message that failed is sent again, to whichever daemon is followed then, until its observations are too old.
    const auto* answer = std::get_if<http_answer>(&*result);
    if (answer != nullptr && answer->status == status_ok) {
      board_.on_sent(in_transit_, taken_at_);
    } else {
      next_message_ = now + timeout;
    }
    in_transit_.clear();
  } else if (exchange_ && ready) {
    exchange_->advance(now); // The other daemon closed the idle connection.
  }
  if ((exchange_ && exchange_->busy()) || !source || now < next_message_) {
    return;
  }
  in_transit_ = board_.unsent(max_per_message, now);
  if (in_transit_.empty()) {
    return;
  }
  if (!exchange_ || *source != source_) {
    source_ = *source;
    exchange_.emplace(source_, max_answer_bytes);
  }
  taken_at_ = now;
  deadline_ = now + timeout;
  exchange_->get(observations_request_target(in_transit_), deadline_);
}

void
observation_path::add_page(page_server& server)
{
  server.add_page(std::string(page_path), [this](const page_request& request, instant now) {
    const auto text_of = [&request](const char* name) {
      const auto text = request.query.find(name);
      return text == request.query.end() ? std::string() : text->second;
    };
    const auto lost = read_observations(text_of("lost"), observation_kind::lost);
    const auto alive = read_observations(text_of("alive"), observation_kind::alive);
    if (!request.query.contains("lost") || !lost || !alive) {
      return page{ status_bad_request, "", "text/plain" };
    }
    on_received(*lost, observation_board::origin::follower, now);
    on_received(*alive, observation_board::origin::follower, now);
    return page{ status_ok, "", "text/plain" };
  });
}

}
