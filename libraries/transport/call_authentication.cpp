#include "coltsfootlock/transport/call_authentication.h"

#include <nlohmann/json.hpp>

#include <sodium.h>

#include <charconv>
#include <utility>

namespace coltsfootlock {

namespace {

using json = nlohmann::json;

constexpr const char* remedy = "; give all daemons the same fleet key and keep their clocks synchronised";

std::optional<std::string>
text_field(const json& value, const char* name)
{
  const auto found = value.is_object() ? value.find(name) : value.end();
  if (found == value.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

/// The signed text of a call. The arguments come last, so that no field can be shifted into another: the fields before
/// them are checked or contain no line break.
std::string
call_body(const std::string& method,
          const std::string& sender,
          const std::string& time,
          const std::string& nonce,
          const std::string& arguments)
{
  return "call\n" + method + "\n" + sender + "\n" + time + "\n" + nonce + "\n" + arguments;
}

std::string
answer_body(const std::string& call_tag, const std::string& content)
{
  return "answer\n" + call_tag + "\n" + content;
}

std::int64_t
milliseconds_of(call_authentication::wall_time time)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

bool
is_within_window(const std::string& text, call_authentication::wall_time now)
{
  std::int64_t sent = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), sent);
  if (status != std::errc() || end != text.data() + text.size()) {
    return false;
  }
  const std::int64_t width = std::chrono::milliseconds(call_authentication::window).count();
  const std::int64_t current = milliseconds_of(now);
  return sent >= current - width && sent <= current + width;
}

bool
has_line_break(const std::string& text)
{
  return text.find('\n') != std::string::npos;
}

}

call_authentication::call_authentication(vm_id self, std::vector<fleet_key> keys)
  : self_(std::move(self))
  , keys_(std::move(keys))
{
}

std::string
call_authentication::sign_call(const std::string& method, const std::string& arguments, wall_time now) const
{
  const std::string time = std::to_string(milliseconds_of(now));
  std::uint64_t random = 0;
  randombytes_buf(&random, sizeof(random));
  const std::string nonce = std::to_string(random);
  const std::string tag = authentication_tag(keys_.front(), call_body(method, self_, time, nonce, arguments));
  return json{
    { "sender", self_ }, { "time_ms", time }, { "nonce", nonce }, { "arguments", arguments }, { "tag", tag }
  }.dump();
}

std::optional<authenticated_call>
call_authentication::open_call(const std::string& method, const std::string& params, wall_time now, error& why) const
{
  const json values = json::parse(params, nullptr, false);
  const auto sender = text_field(values, "sender");
  const auto time = text_field(values, "time_ms");
  const auto nonce = text_field(values, "nonce");
  const auto arguments = text_field(values, "arguments");
  const auto tag = text_field(values, "tag");
  if (!sender || !time || !nonce || !arguments || !tag) {
    why = { error_kind::missing_field, "a call needs the texts sender, time_ms, nonce, arguments and tag" };
    return std::nullopt;
  }
  if (has_line_break(*sender) || has_line_break(*time) || has_line_break(*nonce) || *sender == self_) {
    why = { error_kind::unauthenticated, "the sender, time or nonce of the call is not valid" };
    return std::nullopt;
  }
  if (!verify_authentication_tag(keys_, call_body(method, *sender, *time, *nonce, *arguments), *tag)) {
    why = { error_kind::unauthenticated, std::string("the tag of the call is wrong") + remedy };
    return std::nullopt;
  }
  if (!is_within_window(*time, now)) {
    why = { error_kind::unauthenticated, std::string("the call is too old or from the future") + remedy };
    return std::nullopt;
  }
  return authenticated_call{ *sender, *arguments, *tag };
}

std::string
call_authentication::sign_answer(const std::string& call_tag, const std::string& content) const
{
  const std::string tag = authentication_tag(keys_.front(), answer_body(call_tag, content));
  return json{ { "content", content }, { "tag", tag } }.dump();
}

std::optional<std::string>
call_authentication::open_answer(const std::string& params, const std::string& result, error& why) const
{
  const auto call_tag = text_field(json::parse(params, nullptr, false), "tag");
  const json values = json::parse(result, nullptr, false);
  auto content = text_field(values, "content");
  const auto tag = text_field(values, "tag");
  if (!call_tag || !content || !tag) {
    why = { error_kind::missing_field, "an answer needs the texts content and tag" };
    return std::nullopt;
  }
  if (!verify_authentication_tag(keys_, answer_body(*call_tag, *content), *tag)) {
    why = { error_kind::unauthenticated, std::string("the tag of the answer is wrong") + remedy };
    return std::nullopt;
  }
  return content;
}

}
