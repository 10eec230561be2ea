#pragma once

#include "coltsfootlock/coordination/control_action.h"
#include "coltsfootlock/state/catalogue.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/peer_message.h"
#include "coltsfootlock/state/vm_list.h"

#include <memory>
#include <variant>

namespace coltsfootlock {

struct heartbeat_received
{
  heartbeat message;
};

struct target_reported
{
  vm_id target;
  target_report report;
  bool shed = false;
};

struct catalogue_read
{
  std::shared_ptr<const catalogue> value;
  bool from_platform = false;
};

struct vm_list_read
{
  std::shared_ptr<const vm_list> value;
  bool from_platform = false;
};

/// The platform has no newer version of the record; `version` is its current one.
struct record_unchanged
{
  published_record record;
  std::uint64_t version = 0;
};

/// A record could not be read from the platform.
struct read_failed
{
  published_record record;
  error reason;
};

/// A record could not be fetched from a peer.
struct fetch_failed
{
  published_record record;
  vm_id peer;
  error reason;
};

struct flows_pulled
{
  vm_id peer;
  bool complete = false;
};

/// Events that other threads send to the control thread.
using control_event = std::variant<heartbeat_received,
                                   target_reported,
                                   catalogue_read,
                                   vm_list_read,
                                   record_unchanged,
                                   read_failed,
                                   fetch_failed,
                                   flows_pulled>;

}
