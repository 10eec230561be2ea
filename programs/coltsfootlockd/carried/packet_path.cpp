#include "carried/packet_path.h"

#include "coltsfootlock/transport/log.h"

#include <cmath>
#include <string>
#include <utility>

namespace coltsfootlock {

namespace {

/// Maximum number of packets handled per round of the event loop.
constexpr int packets_per_round = 64;

/// Maximum rate of log lines about packets: several times a daemon's usual rate of new flows.
constexpr double lines_per_second = 50;

/// A number with two digits after the point.
std::string
two_digits(double value)
{
  const auto hundredths = static_cast<std::int64_t>(std::llround(value * 100));
  const std::string rest = std::to_string(hundredths % 100);
  return std::to_string(hundredths / 100) + (rest.size() < 2 ? ".0" : ".") + rest;
}

std::string
describe(const flow_key& flow)
{
  return "flow=" + to_string(flow.caller) + ">" + to_string(flow.service);
}

std::string
describe(const std::optional<reset_evidence>& evidence)
{
  return evidence ? " judgement_age_ms=" + std::to_string(evidence->judgement_age.count()) +
                      " packet_age_ms=" + std::to_string(evidence->packet_age.count()) +
                      " waiting=" + (evidence->waiting ? "1" : "0")
                  : "";
}

}

packet_path::packet_path(udp_socket socket, steering_engine& engine)
  : socket_(std::move(socket))
  , engine_(engine)
  , lines_(lines_per_second)
{
}

void
packet_path::advance(std::optional<instant> records_at, instant now)
{
  const std::span<char> packet = std::span<char>(buffer_).subspan(platform::target_tag_bytes);
  for (int count = 0; count < packets_per_round; ++count) {
    const auto size = socket_.receive_into(packet);
    if (!size) {
      engine_.on_backlog_end();
      return;
    }
    last_packet_ = now;
    handle(*size, records_at, now);
  }
}

void
packet_path::handle(std::size_t size, std::optional<instant> records_at, instant now)
{
  const std::span<char> bytes = std::span<char>(buffer_).subspan(platform::target_tag_bytes, size);
  const auto packet = platform::read_packet(bytes);
  if (!packet) {
    ++counters_.malformed;
    return;
  }
  const steering_decision decision = engine_.on_packet(*packet, now);
  if (const auto* forward = std::get_if<forward_packet>(&decision)) {
    platform::write_token(bytes, forward->token);
    platform::write_tag(std::span<char>(buffer_).first<platform::target_tag_bytes>(), forward->tag);
    if (!socket_.send(forward->address, { buffer_.data(), platform::target_tag_bytes + size })) {
      ++counters_.send_failures;
    }
  } else if (const auto* reset = std::get_if<reset_flow>(&decision)) {
    send_reset(*reset);
  }
  log_decision(*packet, decision, records_at, now);
}

/// Packets to a caller are sent to its address at the port on which this daemon receives packets.
void
packet_path::send_reset(const reset_flow& reset)
{
  const auto bytes = platform::make_reset(reset.flow, reset.sequence);
  if (!socket_.send({ reset.flow.caller.address, socket_.local().port }, { bytes.data(), bytes.size() })) {
    ++counters_.send_failures;
  }
}

void
packet_path::send_resets(const std::vector<reset_flow>& resets, instant now)
{
  for (const reset_flow& reset : resets) {
    send_reset(reset);
    if (lines_.allow(now)) {
      write_log(log_level::info,
                "flow",
                "reset " + describe(reset.flow) + " reason=" + to_string(reset.reason) + " target=" + reset.target +
                  describe(reset.evidence));
    }
  }
}

void
packet_path::log_decision(const carried_packet& packet,
                          const steering_decision& decision,
                          std::optional<instant> records_at,
                          instant now)
{
  const auto* forward = std::get_if<forward_packet>(&decision);
  if (forward != nullptr && forward->reason == forward_reason::named) {
    return;
  }
  if (!lines_.allow(now)) {
    return;
  }
  std::string text;
  if (forward != nullptr) {
    text = std::string(to_string(forward->reason)) + " " + describe(packet.flow) + " target=" + forward->target +
           " candidates=" + std::to_string(forward->candidates) + " open_flows=" + std::to_string(forward->open_flows) +
           (forward->outstanding_per_slot ? " outstanding_per_slot=" + two_digits(*forward->outstanding_per_slot) : "");
  } else if (const auto* reset = std::get_if<reset_flow>(&decision)) {
    text = "reset " + describe(packet.flow) + " reason=" + to_string(reset->reason) + " target=" + reset->target;
  } else {
    const auto& dropped = std::get<drop_packet>(decision);
    text = "dropped " + describe(packet.flow) + " reason=" + to_string(dropped.reason) +
           " token=" + std::to_string(packet.token);
  }
  const catalogue* services = engine_.current_catalogue();
  text += " copy=" + std::to_string(packet.opens ? packet.acknowledged : 0) +
          " catalogue=" + std::to_string(services == nullptr ? 0 : services->version) + " records_age_ms=" +
          (records_at ? std::to_string(std::chrono::duration_cast<milliseconds>(now - *records_at).count()) : "none");
  write_log(log_level::info, "flow", text);
}

void
packet_path::report_suppressed()
{
  const std::uint64_t count = lines_.take_suppressed();
  if (count > 0) {
    write_log(log_level::warning, "flow", "lines left out count=" + std::to_string(count));
  }
}

}
