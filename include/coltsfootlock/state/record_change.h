#pragma once

#include "coltsfootlock/state/catalogue.h"
#include "coltsfootlock/state/error.h"
#include "coltsfootlock/state/store_position.h"
#include "coltsfootlock/state/target_record.h"

#include <compare>
#include <memory>
#include <string>
#include <variant>

namespace coltsfootlock {

/// A target published its record.
struct target_published
{
  target_record target;

  auto operator<=>(const target_published&) const = default;
};

/// A target's record was removed: the target left, or its heartbeats stopped.
struct target_removed
{
  vm_id id;

  auto operator<=>(const target_removed&) const = default;
};

/// A target's record could not be parsed. The target gets no new flows; its open flows are not affected.
struct target_unreadable
{
  vm_id id;
  error why;

  auto operator<=>(const target_unreadable&) const = default;
};

/// Operators published a catalogue.
struct catalogue_published
{
  std::shared_ptr<const catalogue> value;

  bool operator==(const catalogue_published& other) const { return *value == *other.value; }
};

/// The record of the catalogue cannot be used; the catalogue in force stays.
struct catalogue_unreadable
{
  error why;

  auto operator<=>(const catalogue_unreadable&) const = default;
};

/// Operators took a failure domain out of service, or brought it back.
struct domain_switched
{
  std::string domain;
  bool in_service = true;

  auto operator<=>(const domain_switched&) const = default;
};

/// A change of one platform record at a position of the platform's store. Positions grow with each change.
struct record_change
{
  store_position position;
  std::variant<target_published,
               target_removed,
               target_unreadable,
               catalogue_published,
               catalogue_unreadable,
               domain_switched>
    content;

  bool operator==(const record_change&) const = default;
};

}
