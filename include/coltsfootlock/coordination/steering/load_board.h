#pragma once

#include "coltsfootlock/state/load_totals.h"
#include "coltsfootlock/state/target_load.h"
#include "coltsfootlock/state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootlock {

/// Sums up the loads that this daemon and the daemons that follow it observed, and keeps the totals of all domains.
///
/// Load pattern: all daemons of a domain send flows to the same targets, and each sees a fiftieth of them. Rows go from
/// a daemon to the source of its records. The daemon that reads the store computes the total of its domain, and totals
/// go back the same way. A daemon passes on the total of its source, never its own sum, so that a total is made up of
/// each daemon's rows once.
///
/// While sources change, daemons may follow each other in a circle for a moment. No daemon of a circle reads the store,
/// so that nobody computes totals there; `max_depth` and the name of the source keep rows from running in it.
class load_board
{
public:
  static constexpr std::size_t max_followers = 64;
  static constexpr std::size_t max_domains = 32;

  /// Rows pass at most this many daemons before the one that sums them up: a leaf, a relay, and one more while the
  /// reader of the store changes.
  static constexpr std::uint32_t max_depth = 2;

  explicit load_board(std::string domain);

  /// `loaded`: this daemon is under load.
  void set_own(std::vector<target_load> rows, bool loaded, instant now);

  /// Rows of a daemon that follows this one, which replace its previous ones. False if too many daemons do or the rows
  /// passed too many daemons.
  bool on_message(const vm_id& follower, load_message message, instant now);

  /// The rows for the source of this daemon's records: the largest ones of the sum over this daemon and the daemons
  /// that follow it, except the source itself.
  load_message message_for(const vm_id& source, std::size_t max_rows, instant now) const;

  /// The source's totals. False if they are too old or not news.
  bool on_source_totals(load_totals totals, instant now);

  /// The total that a contact in another domain reported. False if it is too old or too many domains are known.
  bool on_domain_total(const std::string& domain, std::vector<target_load> rows, milliseconds age, instant now);

  /// Computes new totals, at the daemon that reads the store. `max_own`, `max_foreign`: maximum numbers of rows.
  void publish(std::size_t max_own, std::size_t max_foreign, instant now);

  /// True if this daemon or one that follows it was under load in its newest window.
  bool loaded(instant now) const;

  /// The newest totals; empty if they are too old.
  std::optional<load_totals> totals(instant now) const;

  /// The same for a daemon that has the totals with `number`; empty if there are no newer ones. A number that was not
  /// given yet is of a previous process.
  std::optional<load_totals> totals_after(std::uint64_t number, instant now) const;

  /// Number of the newest totals; 0 without any.
  std::uint64_t newest() const { return number_; }

  /// When the newest totals were computed.
  instant totals_at() const { return totals_at_; }

  /// The total of this daemon's own domain, for a daemon of another one. Without rows if it is not known.
  load_totals domain_total(instant now) const;

  /// The load of all targets as far as fresh totals tell.
  std::vector<target_load_view> views(instant now) const;

  /// Number of daemons that follow this one and sent rows recently.
  std::size_t followers(instant now) const;

  /// After a pause of the process nothing that was known before is used.
  void on_pause();

private:
  struct received_rows
  {
    load_message message;
    instant at;
  };

  static bool is_fresh(instant at, instant now) { return now - at <= max_load_view_age; }

  std::string domain_;
  received_rows own_;
  std::map<vm_id, received_rows> followers_;
  std::map<std::string, received_rows> domains_;
  std::optional<load_totals> totals_;
  instant totals_at_;
  std::uint64_t number_ = 0;
};

/// The `max_rows` rows with the largest `answer_ms`, by target.
std::vector<target_load>
largest_rows(std::vector<target_load> rows, std::size_t max_rows);

}
