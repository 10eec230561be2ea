#include "traffic_loop.h"

#include "coltsfootlock/protocol/packet_codec.h"
#include "coltsfootlock/protocol/peer_codec.h"

#include <chrono>
#include <utility>
#include <variant>

namespace coltsfootlock {

namespace {

constexpr milliseconds tick_interval{ 20 };
constexpr milliseconds snapshot_interval{ 100 };
constexpr std::size_t command_capacity = 4096;

/// Maximum number of datagrams read from one socket per wake-up, so that a busy socket delays neither the other sockets
/// nor the tick.
constexpr int receive_batch_size = 128;

instant
current_time()
{
  return std::chrono::steady_clock::now();
}

}

traffic_loop::traffic_loop(const settings& values, std::uint64_t boot_id, traffic_sockets sockets, control_inbox& inbox)
  : sockets_(std::move(sockets))
  , inbox_(inbox)
  , engine_(values.times, boot_id)
  , seal_(values.self, boot_id, values.keys)
  , sender_(sockets_, seal_, counters_, inbox, values.fabric)
  , commands_(command_capacity, &wake_)
  , view_(&wake_)
{
  snapshot_.publish(std::make_shared<const traffic_snapshot>());
  loop_.add(wake_.descriptor(), [this] { on_wake(); });
  loop_.add(sockets_.peers.descriptor(), [this] { on_peers_readable(); });
  for (udp_socket& socket : sockets_.paths) {
    loop_.add(socket.descriptor(), [this, &socket] { on_targets_readable(socket); });
  }
  loop_.add(sockets_.callers.descriptor(), [this] { on_callers_readable(); });
}

void
traffic_loop::run()
{
  while (!stopped_) {
    loop_.run_once(tick_interval);
    const instant now = current_time();
    if (now >= next_tick_) {
      tick(now);
    }
  }
  // Sends the last queued heartbeats, in which the peers see that this daemon has released its shares.
  on_wake();
}

void
traffic_loop::stop()
{
  stopped_ = true;
  wake_.signal();
}

void
traffic_loop::publish_view(std::shared_ptr<const routing_view> view)
{
  view_.publish(std::move(view));
}

bool
traffic_loop::post(traffic_command command)
{
  return commands_.push(std::move(command));
}

void
traffic_loop::begin_leaving()
{
  leave_requested_ = true;
  wake_.signal();
}

std::optional<std::string>
traffic_loop::query(std::function<std::string(const traffic_engine&, instant)> read, milliseconds timeout)
{
  auto result = std::make_shared<std::promise<std::string>>();
  std::future<std::string> pending = result->get_future();
  if (!commands_.push(traffic_query{ std::move(read), std::move(result) }) ||
      pending.wait_for(timeout) != std::future_status::ready) {
    return std::nullopt;
  }
  return pending.get();
}

std::shared_ptr<const traffic_snapshot>
traffic_loop::snapshot() const
{
  return snapshot_.get();
}

std::uint64_t
traffic_loop::dropped_commands() const
{
  return commands_.dropped();
}

void
traffic_loop::on_wake()
{
  wake_.clear();
  apply_view();
  for (const traffic_command& command : commands_.take_all()) {
    std::visit([this](const auto& kind) { carry_out(kind); }, command);
  }
  if (leave_requested_ && !leaving_) {
    leaving_ = true;
    sender_.carry_out(engine_.begin_leaving(current_time()));
  }
}

void
traffic_loop::apply_view()
{
  auto view = view_.get();
  if (view == current_view_) {
    return;
  }
  if (!current_view_ || current_view_->vms != view->vms) {
    targets_by_address_.clear();
    for (const target_vm& target : view->vms->targets) {
      targets_by_address_[target.packet_address] = target.id;
    }
  }
  current_view_ = std::move(view);
  sender_.carry_out(engine_.set_view(current_view_, current_time()));
}

void
traffic_loop::carry_out(const send_heartbeat& command)
{
  sender_.send(command.address, command.message);
}

void
traffic_loop::carry_out(const adopt_records& command)
{
  engine_.adopt(command.records, current_time());
}

void
traffic_loop::carry_out(const traffic_query& command)
{
  command.result->set_value(command.read(engine_, current_time()));
}

void
traffic_loop::on_callers_readable()
{
  for (int count = 0; count < receive_batch_size; ++count) {
    const auto datagram = sockets_.callers.receive();
    if (!datagram) {
      return;
    }
    on_caller_datagram(*datagram);
  }
}

void
traffic_loop::on_targets_readable(udp_socket& socket)
{
  for (int count = 0; count < receive_batch_size; ++count) {
    const auto datagram = socket.receive();
    if (!datagram) {
      return;
    }
    on_target_datagram(*datagram);
  }
}

void
traffic_loop::on_peers_readable()
{
  for (int count = 0; count < receive_batch_size; ++count) {
    const auto datagram = sockets_.peers.receive();
    if (!datagram) {
      return;
    }
    on_peer_datagram(*datagram);
  }
}

void
traffic_loop::on_caller_datagram(const received_datagram& datagram)
{
  error why;
  const auto content = decode_packet(datagram.content, why);
  if (!content) {
    ++counters_.malformed_from_callers;
    return;
  }
  if (!current_view_) {
    ++counters_.before_first_view;
    return;
  }
  sender_.carry_out(engine_.on_caller_packet(*content, current_time()));
}

void
traffic_loop::on_target_datagram(const received_datagram& datagram)
{
  const auto target = targets_by_address_.find(datagram.sender);
  if (target == targets_by_address_.end()) {
    ++counters_.unknown_targets;
    return;
  }
  error why;
  const auto content = decode_packet(datagram.content, why);
  if (!content) {
    ++counters_.malformed_from_targets;
    return;
  }
  sender_.carry_out(engine_.on_target_packet(target->second, *content, current_time()));
}

void
traffic_loop::on_peer_datagram(const received_datagram& datagram)
{
  error why;
  const auto opened = seal_.open(datagram.content, why);
  if (!opened) {
    ++counters_.unauthenticated;
    return;
  }
  auto message = decode_peer_message(opened->body, why);
  if (!message) {
    ++counters_.malformed_from_peers;
    return;
  }
  if (std::holds_alternative<heartbeat>(*message)) {
    counters_.heartbeat_bytes_received += datagram.content.size();
  } else if (std::holds_alternative<route_hints>(*message)) {
    counters_.hint_bytes_received += datagram.content.size();
  } else {
    counters_.forwarded_bytes_received += datagram.content.size();
  }
  on_peer_message(*opened, std::move(*message));
}

void
traffic_loop::on_peer_message(const opened_datagram& datagram, peer_message message)
{
  if (auto* received = std::get_if<heartbeat>(&message)) {
    if (received->sender != datagram.sender || received->boot_id != datagram.boot_id) {
      ++counters_.unauthenticated;
      return;
    }
    inbox_.reports.push(heartbeat_received{ std::move(*received) });
    return;
  }
  if (!current_view_) {
    ++counters_.before_first_view;
    return;
  }
  sender_.carry_out(engine_.on_peer_message(datagram.sender, message, current_time()));
}

void
traffic_loop::tick(instant now)
{
  next_tick_ = now + tick_interval;
  if (current_view_) {
    sender_.carry_out(engine_.tick(now));
  }
  if (now < next_snapshot_) {
    return;
  }
  next_snapshot_ = now + snapshot_interval;
  auto snapshot = std::make_shared<traffic_snapshot>();
  snapshot->counters = engine_.counters();
  snapshot->datagrams = counters_;
  if (current_view_) {
    snapshot->use = engine_.use(now);
    snapshot->capacity = engine_.capacity(now);
  }
  snapshot->leaving = leaving_;
  snapshot->finished = leaving_ && engine_.finished();
  snapshot_.publish(std::move(snapshot));
}

}
