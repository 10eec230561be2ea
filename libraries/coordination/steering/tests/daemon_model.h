#pragma once

#include "steering_fixture.h"

#include "coltsfootlock/coordination/steering/record_cache.h"
#include "coltsfootlock/coordination/steering/record_follower.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace coltsfootlock::testing {

/// A target's record with the sequence of the target's own writes.
inline target_record
written(std::uint64_t tag, std::uint64_t sequence, bool leaving = false, const std::string& domain = "a")
{
  target_record target = steering_fixture::make_target(tag, domain);
  target.sequence = sequence;
  target.vm.leaving = leaving;
  return target;
}

/// A catalogue of the feed service.
inline std::shared_ptr<const catalogue>
catalogue_of(std::uint64_t version)
{
  auto value = std::make_shared<catalogue>();
  value->version = version;
  value->services = { steering_fixture::make_service(steering_fixture::feed, "feed") };
  return value;
}

/// A daemon's follower, cache and engine, connected as in the process.
struct daemon_model
{
  follower_settings settings;
  record_follower follower;
  record_cache cache;
  steering_engine engine{ steering_fixture::make_settings() };
  std::uint16_t next_port = 1000;
  std::uint64_t resets = 0; ///< Flows that the daemon has reset.

  explicit daemon_model(std::uint32_t seed = 100000007)
    : follower(settings, seed)
  {
  }

  std::optional<record_call> call(record_sender sender, instant now)
  {
    const auto planned = follower.next_call(sender, false, now);
    return planned ? std::optional(planned->call) : std::nullopt;
  }

  /// False if the response was refused, as of a lower era.
  bool receive(const record_response& response, instant now)
  {
    if (follower.is_of_lower_era(response)) {
      follower.on_peer_failure();
      return false;
    }
    const auto progress = follower.on_response(response, now);
    if (progress.snapshot_begins) {
      engine.on_snapshot_begin();
      cache.begin_snapshot();
    }
    for (const record_change& change : progress.changes) {
      cache.apply(change);
      engine.on_record(change, follower.outage_grace_end(), now);
    }
    if (progress.snapshot_complete) {
      cache.end_snapshot(*progress.snapshot_complete, follower.outage_grace_end());
      engine.on_snapshot_complete(*progress.snapshot_complete, follower.outage_grace_end(), now);
    }
    if (follower.confirmed_at()) {
      cache.advance(follower.position());
      cache.expire(*follower.confirmed_at(), follower.outage_grace_end());
      engine.on_confirmed(*follower.confirmed_at(), follower.outage_grace_end());
    }
    tick(now);
    return true;
  }

  void tick(instant now) { resets += engine.tick(now).size(); }

  /// The response to a list of another daemon that follows this one.
  record_page list_for_followers(instant now) const
  {
    const auto grace = std::chrono::ceil<milliseconds>(follower.outage_grace_end() - now);
    return { cache.all().value(), cache.position(), "", false, { milliseconds(0), std::max(grace, milliseconds(0)) } };
  }

  /// The targets that new flows are opened at. They answer, and the flows end.
  std::set<std::uint64_t> chosen(instant now)
  {
    std::set<std::uint64_t> result;
    std::vector<carried_packet> open;
    for (int count = 0; count < 40; ++count) {
      carried_packet packet;
      packet.flow = steering_fixture::flow_of(next_port++);
      packet.opens = true;
      packet.sequence = 100;
      const steering_decision opened = engine.on_packet(packet, now);
      result.insert(steering_fixture::tag_of(opened));
      if (const auto* forward = std::get_if<forward_packet>(&opened)) {
        packet.opens = false;
        packet.token = forward->token;
        packet.acknowledged = 1;
        packet.sequence = 101;
        engine.on_packet(packet, now);
        open.push_back(packet);
      }
    }
    for (carried_packet& packet : open) {
      packet.resets = true;
      engine.on_packet(packet, now);
    }
    return result;
  }
};

}
