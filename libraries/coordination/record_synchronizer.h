#pragma once

#include "coltsfootlock/coordination/control_action.h"
#include "coltsfootlock/coordination/timing.h"
#include "platform_budget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace coltsfootlock {

/// Reasons to read a record from the platform now.
struct read_reasons
{
  bool reader = false;        ///< This daemon is one of the platform readers of its domain.
  bool reader_silent = false; ///< No reader has sent a heartbeat within `timing::reader_silence`.
  bool confirmation = false;  ///< Heartbeats alone do not renew the authority in time.
};

enum class version_comparison : std::uint8_t
{
  newer,
  equal,
  older,
  conflict, ///< Same version as the one in force, but a different digest.
};

/// Keeps the local copy of one published record up to date: decides when to read it from the platform and when to fetch
/// it from a peer.
class record_synchronizer
{
public:
  record_synchronizer(published_record record, duration platform_wait, timing times);

  version_comparison compare(std::uint64_t version, std::uint64_t digest) const;

  /// Sets the version in force.
  void accept(std::uint64_t version, std::uint64_t digest);

  /// Handles the version that a heartbeat of a peer reported.
  void on_peer_version(const vm_id& peer, std::uint64_t version, std::mt19937_64& random, instant now);

  /// Handles a response of the platform. Returns true if it is recent enough to be evidence: its read was issued after
  /// `resumed`, and it arrived in time.
  bool on_platform_response(instant resumed, instant now);
  void on_read_failed(std::mt19937_64& random, instant now);
  void on_fetched();
  void on_fetch_failed(std::mt19937_64& random, instant now);

  std::optional<control_action> next_read(const read_reasons& reasons,
                                          platform_budget& budget,
                                          std::mt19937_64& random,
                                          instant now);

  /// A peer to fetch a newer version from, if a fetch is due.
  std::optional<vm_id> next_fetch(std::mt19937_64& random, instant now);

  bool known() const;
  bool platform_responded() const;
  std::uint64_t version() const;
  std::uint64_t digest() const;
  published_record record() const;

private:
  struct platform_read
  {
    instant issued{};
    seconds wait{ 0 };
  };

  bool due(const read_reasons& reasons, std::mt19937_64& random, instant now);

  published_record record_;
  duration platform_wait_;
  timing times_;
  std::uint64_t version_ = 0;
  std::uint64_t digest_ = 0;
  bool known_ = false;
  bool platform_responded_ = false;
  std::map<vm_id, std::uint64_t> newer_peer_versions_;
  std::optional<platform_read> outstanding_;
  std::optional<instant> fallback_read_at_;
  std::optional<instant> fetching_until_;
  instant next_fetch_{};
  instant next_read_{};
  instant periodic_read_{};
};

}
