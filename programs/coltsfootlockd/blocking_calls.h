#pragma once

#include "call_counters.h"
#include "control_inbox.h"
#include "settings.h"
#include "traffic_loop.h"

#include "coltsfootlock/coordination/control_action.h"
#include "coltsfootlock/transport/call_authentication.h"
#include "coltsfootlock/transport/http_client.h"
#include "coltsfootlock/transport/worker_pool.h"

#include <optional>
#include <string>

namespace coltsfootlock {

/// Makes the HTTP calls of the control engine in worker threads and posts their results to the control thread. A call
/// whose worker queue is full fails at once.
class blocking_calls
{
public:
  blocking_calls(const settings& values, control_inbox& inbox, traffic_loop& traffic, call_counters& counters);
  ~blocking_calls();

  void start(const read_platform& call);
  void start(const fetch_from_peer& call);
  void start(const pull_flows& call);
  void start(const poll_target_load& call);

  /// Requests both records from the seeds. Each record is requested from one seed after the other until one returns it.
  void query_seeds();

  /// Aborts the running calls and ends the worker threads.
  void stop();

  std::uint64_t dropped_jobs() const;

private:
  void read(const read_platform& call);
  void fetch(const fetch_from_peer& call);
  void pull(const pull_flows& call);
  void poll(const poll_target_load& call);
  void fetch_from_seed(published_record record);

  /// Parses a record and posts it to the control thread. False, with the reason in `why`, if the record is invalid.
  bool post_record(published_record record, const std::string& text, bool from_platform, error& why);
  std::optional<std::string> call_peer(const endpoint& address,
                                       const std::string& method,
                                       const std::string& arguments,
                                       error& why);

  const settings& settings_;
  control_inbox& inbox_;
  traffic_loop& traffic_;
  call_counters& counters_;
  call_authentication authentication_;
  http_client http_;
  worker_pool platform_workers_;
  worker_pool peer_workers_;
  worker_pool target_workers_;
};

}
