#include "number_setting.h"

#include <utility>

namespace coltsfootlock {

namespace {

number_setting
time_setting(std::string flag,
             std::uint64_t min_value,
             std::uint64_t max_value,
             std::string description,
             milliseconds timing::*field)
{
  return { std::move(flag),
           "ms",
           min_value,
           max_value,
           std::move(description),
           [field](const timing& times) { return static_cast<std::uint64_t>((times.*field).count()); },
           [field](timing& times, std::uint64_t value) {
             times.*field = milliseconds(static_cast<milliseconds::rep>(value));
           } };
}

number_setting
size_setting(std::string flag,
             std::string unit,
             std::uint64_t min_value,
             std::uint64_t max_value,
             std::string description,
             std::size_t timing::*field)
{
  return { std::move(flag),
           std::move(unit),
           min_value,
           max_value,
           std::move(description),
           [field](const timing& times) { return static_cast<std::uint64_t>(times.*field); },
           [field](timing& times, std::uint64_t value) { times.*field = static_cast<std::size_t>(value); } };
}

}

const std::vector<number_setting>&
number_settings()
{
  static const std::vector<number_setting> settings = {
    size_setting("flows", "flows", 1000, 10000000, "Most flow records held at once", &timing::max_flows),
    size_setting("keys", "keys", 1000, 10000000, "Most idempotency keys remembered at once", &timing::max_keys),
    time_setting("heartbeat-interval", 10, 10000, "Time between two heartbeats", &timing::heartbeat_interval),
    time_setting("suspect-after", 20, 60000, "A peer that is silent for longer is suspect", &timing::suspect_after),
    size_setting("heartbeat-bytes",
                 "bytes/s",
                 500,
                 1000000,
                 "The heartbeat interval stretches to send at most this much",
                 &timing::heartbeat_bytes_per_second),
    time_setting("spend-authority-timeout",
                 50,
                 60000,
                 "Without a majority or the platform for longer, no share is used",
                 &timing::spend_authority_timeout),
    time_setting("key-authority-timeout",
                 50,
                 120000,
                 "Without news of other domains or the platform for longer, no idempotency key is accepted",
                 &timing::key_authority_timeout),
    time_setting("platform-wait", 100, 60000, "Longest wait of one watch of the platform", &timing::platform_wait),
    time_setting("platform-timeout",
                 200,
                 120000,
                 "A watch of the platform that is silent for longer is replaced",
                 &timing::platform_timeout),
    time_setting("platform-retry", 50, 60000, "Least time between two reads of one record", &timing::platform_retry),
    time_setting("reader-silence",
                 100,
                 60000,
                 "Without news from a reader for longer, the daemon reads the platform itself",
                 &timing::reader_silence),
    time_setting("start-wait", 0, 60000, "Longest wait for the records of peers at start", &timing::start_wait),
    time_setting("target-poll-interval", 100, 60000, "Time between two load reads", &timing::target_poll_interval),
    time_setting("order-retention",
                 100,
                 600000,
                 "Time for which the previous order of domains is consulted for opens",
                 &timing::order_retention),
    time_setting("key-retention", 1000, 86400000, "Time for which a key is remembered", &timing::key_retention),
    time_setting("max-packet-lifetime",
                 10,
                 60000,
                 "Longest time that a packet stays in the network",
                 &timing::max_packet_lifetime),
    time_setting(
      "flow-idle", 1000, 86400000, "A flow record without packets for longer is removed", &timing::flow_idle),
    time_setting("learned-refresh",
                 100,
                 600000,
                 "A learned route is confirmed by the home once per this time",
                 &timing::learned_refresh),
    time_setting("silence", 100, 60000, "A flow whose target is silent for longer changes its path", &timing::silence),
    time_setting(
      "run-grace", 0, 10000, "Added to the deadline of a run before its slot counts as free", &timing::run_grace),
    time_setting("drain", 0, 600000, "Packets are forwarded for this time after SIGTERM", &timing::drain),
    size_setting("hint-bytes", "bytes/s", 100, 1000000, "Most route hints sent", &timing::hint_bytes_per_second),
  };
  return settings;
}

}
