#pragma once

#include "coltsfootlock/coordination/steering/load_board.h"
#include "coltsfootlock/coordination/steering/load_exchange.h"
#include "coltsfootlock/coordination/steering/load_participation.h"
#include "coltsfootlock/coordination/steering/source_choice.h"
#include "coltsfootlock/coordination/steering/steering_engine.h"
#include "coltsfootlock/transport/http_exchange.h"
#include "coltsfootlock/transport/page_server.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <poll.h>

namespace coltsfootlock {

struct load_counters
{
  std::uint64_t rows_sent = 0;        ///< To the source, and to daemons of other domains that asked.
  std::uint64_t rows_received = 0;    ///< From followers, the source and other domains.
  std::uint64_t messages_refused = 0; ///< Requests of other daemons that were malformed or beyond the limits.
  std::uint64_t calls_failed = 0;     ///< Calls of this daemon without a usable answer.

  auto operator<=>(const load_counters&) const = default;
};

/// Exchanges the loads of targets with other daemons while there is load: sends this daemon's rows to the daemon whose
/// records are followed, asks other domains if this daemon reads the store, and passes totals to the engine.
class load_path
{
public:
  load_path(std::string self, std::string domain, steering_engine& engine, const source_choice& sources);

  void add_descriptors(std::vector<pollfd>& wanted) const;

  /// Handles responses and the end of a window. `polled`: the descriptors of the last `add_descriptors` after poll().
  /// `source`: the daemon whose records are followed, if any.
  void advance(std::span<const pollfd> polled, const std::optional<fleet_member>& source, instant now);

  /// Handles the totals in a response of the source.
  void on_totals(const load_totals& totals, instant now);

  /// The process was paused until now.
  void on_pause();

  /// Adds the page for followers and for daemons of other domains.
  void add_page(page_server& server);

  const load_board& board() const { return board_; }
  const load_counters& counters() const { return counters_; }
  const load_exchange_limits& limits() const { return limits_; }
  bool participating() const { return participating_; }

private:
  /// Timeout of a call: it ends before the next window does.
  static constexpr milliseconds timeout{ 400 };

  /// Delay after a call that failed. Two calls in this time would not help a daemon whose rows count for 1.5 s.
  static constexpr milliseconds retry_delay{ 1000 };

  /// A daemon computes totals after reading the store for this long. Others read it now and then for a single call.
  static constexpr milliseconds min_reading_time = 2 * load_window;

  /// Calls to the contacts in another domain, one of which is asked until it fails.
  struct domain_calls
  {
    std::vector<endpoint> contacts;
    std::size_t preferred = 0;
    endpoint server; ///< Of the exchange.
    std::optional<http_exchange> exchange;
    instant deadline;
    instant next_call;
  };

  /// Ends of the call in `exchange`, if it is over.
  static std::optional<std::variant<http_answer, error>> end_of_call(http_exchange& exchange,
                                                                     instant deadline,
                                                                     bool ready,
                                                                     instant now);

  bool reads_store(const std::optional<fleet_member>& source, instant now);
  void on_window(std::vector<target_load> rows, const std::optional<fleet_member>& source, instant now);
  void send_rows(const fleet_member& source, instant now);
  void update_limits(instant now);
  void choose_domains(instant now);
  void call_domain(domain_calls& calls, instant now);
  void on_domain_answer(const std::string& domain,
                        domain_calls& calls,
                        const std::variant<http_answer, error>& result,
                        instant now);
  void set_participating(bool value, instant now);
  void set_target_loads(instant now);
  page load_page(const page_request& request, instant now);
  page on_message(const page_request& request, instant now);
  page refuse(const error& why);

  const std::string self_;
  const std::string domain_;
  steering_engine& engine_;
  const source_choice& sources_;
  load_board board_;
  load_participation participation_;
  load_exchange_limits limits_;
  load_counters counters_;
  bool participating_ = false;
  bool loads_set_ = false;                ///< The engine has views.
  std::optional<instant> reading_since_;  ///< Empty while another daemon is followed.
  std::optional<http_exchange> exchange_; ///< To the source.
  endpoint server_;                       ///< Of the exchange.
  instant deadline_;
  instant next_message_;
  std::map<std::string, domain_calls> domains_; ///< Domains to ask; empty unless this daemon reads the store.
};

}
